#pragma once

// Part of forward_engine.hpp: requests that may have crashed their endpoints, and the parts of their prompts.

#include "coordination/forwarding/forward_engine.hpp"

#include <algorithm>
#include <utility>

namespace buckthorndale::coordination::forwarding {

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::answer_began_at(const running_attempt& attempt) const
    -> std::optional<state::time_point>
{
    // An endpoint that a request crashes may still send the response headers.
    constexpr auto min_time_since = state::duration{std::chrono::milliseconds{250}};
    if (!attempt.first_byte_time_)
        return std::nullopt;
    const auto began_at = attempt.started_ + *attempt.first_byte_time_;
    return clock_.now() - began_at >= min_time_since ? std::optional{began_at} : std::nullopt;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_crash(const entry& item, const running_attempt& attempt)
    -> void
{
    if (answer_began_at(attempt))
        return;
    // Its own copies wait for no verdict.
    suspects_.add_local(item.request_.content_, attempt.endpoint_, clock_.now());
    suspect_failure(item, attempt, forward_outcome::crashed).is_suspect_ = true;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::clear_parts(entry& item, running_attempt& attempt,
                                                      state::time_point began_at) -> void
{
    if (std::exchange(attempt.has_cleared_parts_, true))
        return;
    suspects_.clear(item.request_.content_);
    const auto began_ago = clock_.now() - began_at;
    for (const auto part : part_suspects_.record_answer(item.shared_parts_, began_at))
        cleared_parts_.push_back({.part_ = part, .began_ago_ = began_ago});
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::judge_parts() -> void
{
    for (auto& [handle, item] : entries_) {
        if (!item.attempt_ || item.attempt_->has_cleared_parts_ || item.attempt_->is_relayed())
            continue;
        if (const auto began_at = answer_began_at(*item.attempt_))
            clear_parts(item, *item.attempt_, *began_at);
    }
    if (!cleared_parts_.empty())
        port_.announce_cleared_parts(std::exchange(cleared_parts_, {}));
    const auto now = clock_.now();
    const auto blocked = part_suspects_.judge(now);
    if (blocked.empty())
        return;
    for (const auto part : blocked) {
        part_suspects_.postpone_trial(part, now, draw());
        port_.log(forward_log{.action_ = "block_part",
                              .reason_ = "endpoints crash when they begin to answer prompts with part " +
                                         std::to_string(part.value()),
                              .generation_ = table_->generation_});
    }
    port_.announce_blocked_parts(part_suspects_.blocked_parts(now));
    stop_blocked_requests();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::stop_blocked_requests() -> void
{
    auto blocked = std::vector<state::request_handle>{};
    for (const auto& [handle, item] : entries_) {
        if (item.attempt_ && !item.attempt_->first_byte_time_ && is_blocked(item))
            blocked.push_back(handle);
    }
    for (const auto handle : blocked) {
        auto& item = entries_.at(handle);
        abandon_attempt(item);
        refuse(item, state::error_kind::outcome_unknown, std::string{crashing_part_detail});
    }
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_remote_blocked_part(const suspicion::blocked_part& blocked)
    -> void
{
    const auto now = clock_.now();
    const auto was_blocked = part_suspects_.is_blocked({blocked.part_});
    if (part_suspects_.record_remote_block(blocked, now)) {
        if (!was_blocked)
            stop_blocked_requests();
        return;
    }
    // The sender has missed the answer that cleared the part.
    if (const auto cleared_ago = part_suspects_.cleared_ago(blocked.part_, now))
        cleared_parts_.push_back({.part_ = blocked.part_, .began_ago_ = *cleared_ago});
}

} // namespace buckthorndale::coordination::forwarding
