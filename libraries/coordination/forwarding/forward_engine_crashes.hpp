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
    suspect_failure(item, attempt, forward_outcome::crashed).is_suspect_ = true;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::clear_parts(entry& item, running_attempt& attempt,
                                                      state::time_point began_at) -> void
{
    if (std::exchange(attempt.has_cleared_parts_, true))
        return;
    const auto began_ago = clock_.now() - began_at;
    for (const auto part : part_suspects_.record_answer(item.shared_parts_, began_at))
        cleared_parts_.push_back({.part_ = part, .began_ago_ = began_ago});
    for (const auto content : content_suspects_.record_answer(item.content_key_, began_at))
        cleared_parts_.push_back({.part_ = content, .began_ago_ = began_ago, .is_content_ = true});
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
    const auto blocks_parts = block_suspects(part_suspects_, "part", now);
    const auto blocks_contents = block_suspects(content_suspects_, "content", now);
    if (!blocks_parts && !blocks_contents)
        return;
    port_.announce_blocked_parts(blocked_parts());
    stop_blocked_requests();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::block_suspects(suspicion::part_suspects& suspects,
                                                         const std::string& what, state::time_point now)
    -> bool
{
    const auto blocked = suspects.judge(now);
    for (const auto key : blocked) {
        suspects.postpone_trial(key, now, draw());
        port_.log(forward_log{.action_ = "block_" + what,
                              .reason_ = "endpoints crash when they begin to answer requests with " + what +
                                         " " + std::to_string(key.value()),
                              .generation_ = table_->generation_});
    }
    return !blocked.empty();
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::blocked_parts() const -> std::vector<suspicion::blocked_part>
{
    const auto now = clock_.now();
    auto blocked = part_suspects_.blocked_parts(now);
    for (auto item : content_suspects_.blocked_parts(now)) {
        item.is_content_ = true;
        blocked.push_back(item);
    }
    return blocked;
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::record_crash_evidence(const crash_notice& crash,
                                                                state::time_point now) -> void
{
    const auto sent_at = now - crash.sent_ago_;
    part_suspects_.record_crash({.endpoint_ = crash.endpoint_, .parts_ = crash.parts_, .sent_at_ = sent_at},
                                now);
    content_suspects_.record_crash({.endpoint_ = crash.endpoint_,
                                    .parts_ = {state::prompt_part_key{crash.content_.value()}},
                                    .sent_at_ = sent_at},
                                   now);
}

template <time::clock_source Clock, time::random_source Random, forward_port Port>
auto forward_engine<Clock, Random, Port>::time_to_trial(const entry& item, state::time_point now) const
    -> state::duration
{
    return std::max(part_suspects_.time_to_trial(item.shared_parts_, now),
                    content_suspects_.time_to_trial(item.content_key_, now));
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
    auto& suspects = blocked.is_content_ ? content_suspects_ : part_suspects_;
    const auto was_blocked = suspects.is_blocked({blocked.part_});
    if (suspects.record_remote_block(blocked, now)) {
        if (!was_blocked)
            stop_blocked_requests();
        return;
    }
    // The sender has missed the answer that cleared the part.
    if (const auto cleared_ago = suspects.cleared_ago(blocked.part_, now))
        cleared_parts_.push_back(
            {.part_ = blocked.part_, .began_ago_ = *cleared_ago, .is_content_ = blocked.is_content_});
}

} // namespace buckthorndale::coordination::forwarding
