#include "coordination/roll_out/version_guard.hpp"

#include "state/invariant.hpp"

#include <algorithm>

namespace buckthorndale::coordination::roll_out {

auto version_guard::record(const state::version_key& version, bool is_good) -> void
{
    verify(!version.model_.is_empty(), state::guarantee::internal_consistency,
           "evidence must be about a version");
    const auto answer = is_good ? evidence{.good_ = 1} : evidence{.bad_ = 1};
    auto& known = versions_[version];
    known.own_counts_ += answer;
    known.own_.add(answer);
}

auto version_guard::hear_sums(const evidence_report& sums) -> void
{
    for (const auto& increment : sums_.follow(sums))
        versions_[increment.version_].all_.add(increment.counts_);
}

auto version_guard::judge_roll_out(const state::roll_out& roll_out, state::roll_out_emphasis emphasis)
    -> test_verdict
{
    if (is_halted(roll_out.to_key()))
        return test_verdict::worse;
    const auto verdict = judge(total(roll_out.from_key()), total(roll_out.to_key()), settings_for(emphasis));
    if (verdict == test_verdict::worse)
        halted_.insert(roll_out.to_key());
    return verdict;
}

auto version_guard::lift(const state::version_key& version) -> void
{
    alarms_.erase(version);
    halted_.erase(version);
    auto& known = versions_[version];
    for (auto* each : {&known.own_, &known.all_}) {
        each->since_lift_ = {};
        each->detector_.reset();
    }
}

auto version_guard::has_turned_bad(const state::version_key& version) const -> bool
{
    const auto* known = find(version);
    return known != nullptr && (known->own_.detector_.has_turned() || known->all_.detector_.has_turned());
}

auto version_guard::is_suspicious(const state::version_key& version) const -> bool
{
    const auto* known = find(version);
    return known != nullptr &&
           (known->own_.detector_.is_suspicious() || known->all_.detector_.is_suspicious());
}

auto version_guard::raise_alarms(state::time_point now) -> std::vector<state::version_key>
{
    auto raised = std::vector<state::version_key>{};
    for (const auto& [version, known] : versions_) {
        if (has_turned_bad(version) && alarms_.try_emplace(version, now).second)
            raised.push_back(version);
    }
    return raised;
}

auto version_guard::end_old_alarms(state::time_point now) -> void
{
    for (auto alarm = alarms_.begin(); alarm != alarms_.end();) {
        if (now - alarm->second < longest_alarm) {
            ++alarm;
            continue;
        }
        auto& known = versions_[alarm->first];
        known.own_.detector_.reset();
        known.all_.detector_.reset();
        alarm = alarms_.erase(alarm);
    }
}

auto version_guard::own_counts() const -> std::vector<version_counts>
{
    auto counts = std::vector<version_counts>{};
    for (const auto& [version, known] : versions_) {
        if (known.own_counts_.total() > 0)
            counts.push_back({.version_ = version, .counts_ = known.own_counts_});
    }
    return counts;
}

auto version_guard::total(const state::version_key& version) const -> evidence
{
    const auto* known = find(version);
    if (known == nullptr)
        return {};
    const auto& own = known->own_.since_lift_;
    const auto& all = known->all_.since_lift_;
    return own.total() > all.total() ? own : all;
}

auto version_guard::view::add(const evidence& batch) -> void
{
    since_lift_ += batch;
    detector_.add(batch);
}

auto version_guard::find(const state::version_key& version) const -> const version_state*
{
    const auto found = versions_.find(version);
    return found == versions_.end() ? nullptr : &found->second;
}

} // namespace buckthorndale::coordination::roll_out
