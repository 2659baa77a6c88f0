#include "coordination/suspicion/part_suspects.hpp"

#include <algorithm>
#include <ranges>
#include <utility>

namespace buckthorndale::coordination::suspicion {

namespace {

/// Keeps the latest time of a part; drops the oldest of all if there are too many.
auto remember(std::map<state::prompt_part_key, state::time_point>& times, state::prompt_part_key part,
              state::time_point time) -> void
{
    constexpr auto max_times = std::size_t{4096};
    if (times.size() >= max_times && !times.contains(part))
        times.erase(std::ranges::min_element(times, {}, [](const auto& item) { return item.second; }));
    auto& known = times[part];
    known = std::max(known, time);
}

} // namespace

auto part_suspects::record_crash(const crashed_attempt& attempt, state::time_point now) -> void
{
    const auto number = find_or_add_crash(attempt.endpoint_, now);
    for (const auto part : attempt.parts_) {
        if (suspects_.size() >= max_suspects && !suspects_.contains(part))
            drop_oldest();
        auto& item = suspects_[part];
        if (item.crashes_.empty()) {
            const auto answered = answered_.find(part);
            item.was_sound_ = answered && now - *answered < sound_memory;
        }
        if (item.crashes_.insert(number).second)
            item.crash_before_ = std::exchange(item.last_crash_, now);
        // Endpoints that fail together end attempts that were sent before the first of them failed.
        const auto is_next =
            item.sequence_.empty() || attempt.sent_at_ + limits_.max_report_delay_ >= item.crash_before_;
        if (is_next && (item.sequence_.empty() || item.sequence_.back() != number))
            item.sequence_.push_back(number);
    }
}

auto part_suspects::find_or_add_crash(const state::endpoint_id& endpoint, state::time_point now)
    -> crash_number
{
    const auto found = std::ranges::find_if(crashes_ | std::views::reverse, [&](const crash& item) {
        return item.endpoint_ == endpoint && now - item.at_ < same_crash_time;
    });
    if (found != std::ranges::rend(crashes_))
        return found->number_;
    crashes_.push_back({.number_ = ++last_crash_number_, .endpoint_ = endpoint, .at_ = now});
    return last_crash_number_;
}

auto part_suspects::record_answer(const part_keys& parts, state::time_point began_at) -> part_keys
{
    auto cleared = part_keys{};
    for (const auto part : parts) {
        answered_.record(part, began_at);
        const auto found = suspects_.find(part);
        if (found == suspects_.end() || !drop_refuted_crashes(found->second, began_at))
            continue;
        if (found->second.crashes_.empty())
            suspects_.erase(found);
        remember(cleared_, part, began_at);
        cleared.push_back(part);
    }
    return cleared;
}

auto part_suspects::drop_refuted_crashes(suspect& item, state::time_point began_at) const -> bool
{
    const auto is_refuted = [&](crash_number number) {
        const auto found = std::ranges::find(crashes_, number, &crash::number_);
        return found == crashes_.end() || found->at_ < began_at;
    };
    // Another instance's block may come without the crashes that it rests on.
    if (item.crashes_.empty() && began_at <= item.last_crash_)
        return false;
    const auto is_refuted_in_part = std::ranges::any_of(item.crashes_, is_refuted);
    if (!item.crashes_.empty() && !is_refuted_in_part)
        return false;
    std::erase_if(item.crashes_, is_refuted);
    std::erase_if(item.sequence_, is_refuted);
    item.is_blocked_ = item.is_blocked_ && !item.crashes_.empty();
    return true;
}

auto part_suspects::is_blocked(const part_keys& parts) const -> bool
{
    return std::ranges::any_of(parts, [this](state::prompt_part_key part) {
        const auto found = suspects_.find(part);
        return found != suspects_.end() && found->second.is_blocked_;
    });
}

auto part_suspects::time_to_trial(const part_keys& parts, state::time_point now) const -> state::duration
{
    auto time = state::duration::zero();
    for (const auto part : parts) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && found->second.is_blocked_)
            time = std::max(time, found->second.trial_at_ - now);
    }
    return time;
}

auto part_suspects::begin_trial(const part_keys& parts, state::time_point now, double draw) -> bool
{
    if (time_to_trial(parts, now) > state::duration::zero())
        return false;
    for (const auto part : parts) {
        const auto found = suspects_.find(part);
        if (found != suspects_.end() && found->second.is_blocked_)
            postpone(found->second, now, draw);
    }
    return true;
}

auto part_suspects::postpone_trial(state::prompt_part_key part, state::time_point now, double draw) -> void
{
    const auto found = suspects_.find(part);
    if (found != suspects_.end())
        postpone(found->second, now, draw);
}

auto part_suspects::postpone(suspect& item, state::time_point now, double draw) const -> void
{
    item.trial_interval_ = std::max(item.trial_interval_, limits_.first_trial_interval_);
    // The instances' times differ, so that one begins and the others learn of it.
    const auto spread = std::chrono::duration_cast<state::duration>(item.trial_interval_ * draw);
    item.trial_at_ = now + item.trial_interval_ + spread;
    item.trial_interval_ = std::min<state::duration>(item.trial_interval_ * 2, max_trial_interval);
}

auto part_suspects::unexplained(const suspect& item) const -> std::set<crash_number>
{
    auto crashes = item.crashes_;
    for (const auto& [part, other] : suspects_) {
        if (!other.is_blocked_)
            continue;
        for (const auto number : other.crashes_)
            crashes.erase(number);
    }
    return crashes;
}

auto part_suspects::weight_of(crash_number number) const -> double
{
    const auto found = std::ranges::find(crashes_, number, &crash::number_);
    if (found == crashes_.end())
        return 0.0;
    const auto together = std::ranges::count_if(crashes_, [&](const crash& item) {
        return std::chrono::abs(item.at_ - found->at_) < same_cause_time;
    });
    return 1.0 / static_cast<double>(together);
}

auto part_suspects::has_enough_evidence(const suspect& item, state::time_point now) const -> bool
{
    constexpr auto rounding = 0.01;
    if (item.sequence_.size() < min_sequence)
        return false;
    const auto required = item.was_sound_ ? limits_.min_evidence_against_sound_ : limits_.min_evidence_;
    if (limits_.counts_only_sequence_)
        return static_cast<double>(item.sequence_.size()) >= required;
    auto evidence = rounding;
    for (const auto number : item.crashes_) {
        evidence += weight_of(number);
        if (evidence < required)
            continue;
        const auto found = std::ranges::find(crashes_, number, &crash::number_);
        return found != crashes_.end() && now - found->at_ >= settling_time;
    }
    return false;
}

auto part_suspects::find_cause(state::time_point now) const -> std::optional<state::prompt_part_key>
{
    auto best = std::optional<state::prompt_part_key>{};
    auto best_crashes = std::set<crash_number>{};
    auto is_in_doubt = false;
    for (const auto& [part, item] : suspects_) {
        if (item.is_blocked_ || !has_enough_evidence(item, now))
            continue;
        auto crashes = unexplained(item);
        if (crashes.size() < limits_.min_crashes_ || crashes.size() < best_crashes.size())
            continue;
        is_in_doubt = crashes.size() == best_crashes.size();
        best = part;
        best_crashes = std::move(crashes);
    }
    if (!best || (is_in_doubt && best_crashes.size() < limits_.min_crashes_in_doubt_))
        return std::nullopt;
    return best;
}

auto part_suspects::judge(state::time_point now) -> part_keys
{
    auto found = part_keys{};
    while (const auto cause = find_cause(now)) {
        auto& item = suspects_.at(*cause);
        item.is_blocked_ = true;
        item.trial_at_ = now + std::max(item.trial_interval_, limits_.first_trial_interval_);
        found.push_back(*cause);
    }
    return found;
}

auto part_suspects::blocked_parts(state::time_point now) const -> std::vector<blocked_part>
{
    auto blocked = std::vector<blocked_part>{};
    for (const auto& [part, item] : suspects_) {
        if (item.is_blocked_)
            blocked.push_back({.part_ = part,
                               .crashed_ago_ = now - item.last_crash_,
                               .trial_in_ = item.trial_at_ - now,
                               .trial_interval_ = item.trial_interval_});
    }
    return blocked;
}

auto part_suspects::record_remote_block(const blocked_part& blocked, state::time_point now) -> bool
{
    const auto crashed_at = now - blocked.crashed_ago_;
    const auto cleared = cleared_.find(blocked.part_);
    if (cleared != cleared_.end() && cleared->second > crashed_at)
        return false;
    if (suspects_.size() >= max_suspects && !suspects_.contains(blocked.part_))
        drop_oldest();
    auto& item = suspects_[blocked.part_];
    item.is_blocked_ = true;
    item.last_crash_ = std::max(item.last_crash_, crashed_at);
    item.trial_at_ = std::max(item.trial_at_, now + blocked.trial_in_);
    item.trial_interval_ = std::max(item.trial_interval_, blocked.trial_interval_);
    return true;
}

auto part_suspects::cleared_ago(state::prompt_part_key part, state::time_point now) const
    -> std::optional<state::duration>
{
    const auto found = cleared_.find(part);
    return found == cleared_.end() ? std::nullopt : std::optional{now - found->second};
}

auto part_suspects::forget_old(state::time_point now) -> void
{
    const auto is_old = [now](state::time_point time) { return now - time > retention; };
    std::erase_if(suspects_, [&](const auto& item) { return is_old(item.second.last_crash_); });
    std::erase_if(cleared_, [&](const auto& item) { return is_old(item.second); });
    while (!crashes_.empty() && is_old(crashes_.front().at_))
        crashes_.pop_front();
}

auto part_suspects::drop_oldest() -> void
{
    // Blocked parts are the last to go.
    const auto order = [](const auto& item) {
        return std::pair{item.second.is_blocked_, item.second.last_crash_};
    };
    suspects_.erase(std::ranges::min_element(suspects_, {}, order));
}

} // namespace buckthorndale::coordination::suspicion
