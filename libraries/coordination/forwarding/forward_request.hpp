#pragma once

#include "state/identifiers.hpp"
#include "state/stable_hash.hpp"
#include "state/units.hpp"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Forwards requests to endpoints unchanged.
namespace buckthorndale::coordination::forwarding {

/// A part of a prompt that several requests may share.
struct prompt_part {
    std::string id_;
    state::token_count tokens_;

    auto operator==(const prompt_part&) const -> bool = default;
};

/// Callers choose the number of parts, and each shared one is reported to the other instances after a crash.
inline constexpr auto max_shared_parts = std::size_t{32};

/// The properties of a forwarded request that routing depends on. The network thread keeps its bytes.
struct forward_request {
    /// The caller's id for this attempt, as written to logs.
    state::request_id id_;
    std::string host_;
    /// The path, without the query.
    std::string path_;
    /// The caller's API key; empty if there is none.
    std::string key_;
    /// A hash of method, target, caller and body.
    state::content_fingerprint content_;
    /// The caller's timeout; zero if it states none.
    state::duration time_allowed_{0};
    bool router_chooses_model_{false};
    /// The model that the caller names; empty if it names none.
    state::model_name model_;
    state::token_count prompt_tokens_;
    state::token_count max_answer_tokens_;
    /// The parts in prompt order, of which a long prompt lacks some between the first max_shared_parts and
    /// the last two. The last one belongs to this request or its session alone.
    std::vector<prompt_part> prompt_;
    state::session_id session_;
    /// Id of the last event that the caller received in an earlier attempt; empty if there was none.
    std::string last_event_;
    /// How many attempts this instance may make; set if another instance passed the request on.
    std::optional<std::int32_t> relayed_attempts_;
};

/// Longer than any model's context. Prompt lengths come from callers, so they are clamped to keep sums of
/// them from overflowing.
inline constexpr auto max_prompt_tokens = std::int64_t{10'000'000};

/// The length of the prompt in tokens, which the time to first byte grows with; 1 for a request without one.
inline auto prompt_length(const forward_request& request) -> std::int64_t
{
    return std::clamp<std::int64_t>(request.prompt_tokens_.value(), 1, max_prompt_tokens);
}

/// The length of the prompt's parts that other requests may share.
inline auto shared_prompt_length(const forward_request& request) -> std::int64_t
{
    const auto length = prompt_length(request);
    if (request.prompt_.empty())
        return 0;
    return length - std::clamp<std::int64_t>(request.prompt_.back().tokens_.value(), 0, length);
}

/// The parts of the prompt that other requests may share.
inline auto shared_parts(const forward_request& request) -> std::vector<state::prompt_part_key>
{
    auto keys = std::vector<state::prompt_part_key>{};
    for (auto i = std::size_t{0}; i + 1 < request.prompt_.size() && i < max_shared_parts; ++i)
        keys.emplace_back(state::stable_hash(request.prompt_[i].id_));
    return keys;
}

} // namespace buckthorndale::coordination::forwarding
