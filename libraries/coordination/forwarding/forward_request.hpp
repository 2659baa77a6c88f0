#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

/// Requests that are passed on to endpoints as they came.
namespace buckthorndale::coordination::forwarding {

/// A part of a prompt that requests may share.
struct prompt_part {
    std::string id_;
    state::token_count tokens_;

    auto operator==(const prompt_part&) const -> bool = default;
};

/// What decides about a forwarded request; the bytes stay with the network side.
struct forward_request {
    /// The caller's name for this attempt, as it stands in logs.
    state::request_id id_;
    std::string host_;
    /// Without the query.
    std::string path_;
    /// The caller's key; empty when there is none.
    std::string key_;
    /// A hash of method, target, caller and body.
    state::content_fingerprint content_;
    /// How long the caller waits; zero when it does not say.
    state::duration time_allowed_{0};
    /// Whether the router is to choose the model.
    bool router_chooses_model_{false};
    state::token_count prompt_tokens_;
    state::token_count max_answer_tokens_;
    /// In the order of the prompt; the last one belongs to this request or its session alone.
    std::vector<prompt_part> prompt_;
    state::session_id session_;
    /// The last event that the caller has of an earlier attempt; empty when there was none.
    std::string last_event_;
};

/// Longer than any model's context. Callers say how long their prompts are, and no sum of it may overflow.
inline constexpr auto max_prompt_tokens = std::int64_t{10'000'000};

/// What the time to the head of its answer goes with: the tokens of the prompt, one for a plain request.
inline auto prompt_length(const forward_request& request) -> std::int64_t
{
    return std::clamp<std::int64_t>(request.prompt_tokens_.value(), 1, max_prompt_tokens);
}

/// The part of the length that other requests may share.
inline auto shared_prompt_length(const forward_request& request) -> std::int64_t
{
    const auto length = prompt_length(request);
    if (request.prompt_.empty())
        return 0;
    return length - std::clamp<std::int64_t>(request.prompt_.back().tokens_.value(), 0, length);
}

} // namespace buckthorndale::coordination::forwarding
