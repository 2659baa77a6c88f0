#pragma once

#include "coordination/roll_out/change_detector.hpp"
#include "coordination/roll_out/evidence.hpp"
#include "coordination/roll_out/evidence_report.hpp"
#include "coordination/roll_out/report_follower.hpp"
#include "coordination/roll_out/sequential_test.hpp"
#include "state/roll_out.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <array>
#include <map>
#include <set>
#include <vector>

namespace buckthorndale::coordination::roll_out {

/// Judges versions by this router's own answers, without delay, and by the sums over all routers, which
/// arrive later and include its own. A version that is worse than the one it replaces is halted locally at
/// once, until the operators decide.
class version_guard {
public:
    /// Records one answer of this router.
    auto record(const state::version_key& version, bool is_good) -> void;

    /// Adds what is new in the sums over all routers.
    auto update_sums(const evidence_report& sums) -> void;

    /// Judges a roll-out; a version found worse is halted locally at once.
    auto judge_roll_out(const state::roll_out& roll_out, state::roll_out_emphasis emphasis)
        -> sequential_test_verdict;

    auto is_halted(const state::version_key& version) const -> bool { return halted_.contains(version); }

    /// Clears the halt and the alarm after the operators resumed the roll-out; evidence is counted from zero.
    auto lift_halt(const state::version_key& version) -> void;

    /// Whether a version that served well has degraded.
    auto is_degraded(const state::version_key& version) const -> bool;

    /// Whether a version is suspected of degrading, so that all its answers should be rated.
    auto is_suspicious(const state::version_key& version) const -> bool;

    /// Raises an alarm on each degraded version. Returns those that had none before.
    auto raise_alarms(state::time_point now) -> std::vector<state::version_key>;

    /// Clears alarms past their maximum duration; their versions get traffic and are monitored again.
    auto clear_expired_alarms(state::time_point now) -> void;

    auto is_alarmed(const state::version_key& version) const -> bool { return alarms_.contains(version); }

    /// The answers of this router since it started.
    auto own_counts() const -> std::vector<version_counts>;

    /// The answers since the halt was last lifted: the sums over all routers, or this router's own if larger.
    auto total(const state::version_key& version) const -> evidence;

private:
    /// The evidence on one version from one source: this router alone, or all routers.
    struct observations {
        evidence since_lift_;
        change_detector detector_;

        auto add(const evidence& batch) -> void;
    };

    struct version_evidence {
        /// Never reset, since it is reported to others as a cumulative count.
        evidence own_counts_;
        observations own_router_;
        observations all_routers_;
    };

    auto find(const state::version_key& version) const -> const version_evidence*;

    /// Alarms expire, since the cause may have been fixed at the endpoints.
    static constexpr state::duration max_alarm_duration{std::chrono::minutes{10}};

    std::map<state::version_key, version_evidence> versions_;
    report_follower sums_;
    std::set<state::version_key> halted_;
    std::map<state::version_key, state::time_point> alarms_;
};

} // namespace buckthorndale::coordination::roll_out
