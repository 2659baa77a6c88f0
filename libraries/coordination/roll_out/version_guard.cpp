#include "coordination/roll_out/version_guard.hpp"

#include "state/invariant.hpp"

#include <algorithm>

namespace buckthorndale::coordination::roll_out {

auto version_guard::record(const state::version_key& version, bool is_good) -> void
{
    verify(!version.model_.is_empty(), state::guarantee::internal_consistency,
           "evidence must name a model version");
    const auto answer = is_good ? evidence{.good_ = 1} : evidence{.bad_ = 1};
    auto& known = versions_[version];
    known.own_counts_ += answer;
    known.own_router_.add(answer);
}

auto version_guard::update_sums(const evidence_report& sums) -> void
{
    for (const auto& increment : sums_.follow(sums))
        versions_[increment.version_].all_routers_.add(increment.counts_);
}

auto version_guard::judge_roll_out(const state::roll_out& roll_out, state::roll_out_emphasis emphasis)
    -> sequential_test_verdict
{
    if (is_halted(roll_out.to_key()))
        return sequential_test_verdict::worse;
    const auto verdict = judge(total(roll_out.from_key()), total(roll_out.to_key()), settings_for(emphasis));
    if (verdict == sequential_test_verdict::worse)
        halted_.insert(roll_out.to_key());
    return verdict;
}

auto version_guard::lift_halt(const state::version_key& version) -> void
{
    alarms_.erase(version);
    halted_.erase(version);
    auto& known = versions_[version];
    for (auto* each : {&known.own_router_, &known.all_routers_}) {
        each->since_lift_ = {};
        each->detector_.reset();
    }
}

auto version_guard::is_degraded(const state::version_key& version) const -> bool
{
    const auto* known = find(version);
    return known != nullptr &&
           (known->own_router_.detector_.has_degraded() || known->all_routers_.detector_.has_degraded());
}

auto version_guard::is_suspicious(const state::version_key& version) const -> bool
{
    const auto* known = find(version);
    return known != nullptr &&
           (known->own_router_.detector_.is_suspicious() || known->all_routers_.detector_.is_suspicious());
}

auto version_guard::raise_alarms(state::time_point now) -> std::vector<state::version_key>
{
    auto raised = std::vector<state::version_key>{};
    for (const auto& [version, known] : versions_) {
        if (is_degraded(version) && alarms_.try_emplace(version, now).second)
            raised.push_back(version);
    }
    return raised;
}

auto version_guard::clear_expired_alarms(state::time_point now) -> void
{
    for (auto alarm = alarms_.begin(); alarm != alarms_.end();) {
        if (now - alarm->second < max_alarm_duration) {
            ++alarm;
            continue;
        }
        auto& known = versions_[alarm->first];
        known.own_router_.detector_.reset();
        known.all_routers_.detector_.reset();
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
    const auto& own = known->own_router_.since_lift_;
    const auto& all = known->all_routers_.since_lift_;
    return own.total() > all.total() ? own : all;
}

auto version_guard::observations::add(const evidence& batch) -> void
{
    since_lift_ += batch;
    detector_.add(batch);
}

auto version_guard::find(const state::version_key& version) const -> const version_evidence*
{
    const auto found = versions_.find(version);
    return found == versions_.end() ? nullptr : &found->second;
}

} // namespace buckthorndale::coordination::roll_out
