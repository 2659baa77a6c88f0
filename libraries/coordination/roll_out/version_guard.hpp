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

/// Judges versions by this router's answers, at once, and by the sums of all routers, which come later and
/// contain its own. A version that proves worse than the one it replaces is halted here at once, until the
/// operators decide.
class version_guard {
public:
    /// Records one answer of this router.
    auto record(const state::version_key& version, bool is_good) -> void;

    /// Takes over the sums of all routers.
    auto update_sums(const evidence_report& sums) -> void;

    /// Judges a roll-out; a version found worse is halted here at once.
    auto judge_roll_out(const state::roll_out& roll_out, state::roll_out_emphasis emphasis)
        -> sequential_test_verdict;

    auto is_halted(const state::version_key& version) const -> bool { return halted_.contains(version); }

    /// Lifts a halt and an alarm after the operators started the roll-out again; the evidence starts anew.
    auto lift_halt(const state::version_key& version) -> void;

    /// Whether a version that served well has turned bad.
    auto is_degraded(const state::version_key& version) const -> bool;

    /// Whether there are signs that a version turns bad, so that all its answers should be looked at.
    auto is_suspicious(const state::version_key& version) const -> bool;

    /// Raises an alarm on each version that has turned bad. Returns those without an alarm so far.
    auto raise_alarms(state::time_point now) -> std::vector<state::version_key>;

    /// Ends the alarms that are old; the version is tried, and watched, again.
    auto clear_expired_alarms(state::time_point now) -> void;

    auto is_alarmed(const state::version_key& version) const -> bool { return alarms_.contains(version); }

    /// The answers of this router since it started.
    auto own_counts() const -> std::vector<version_counts>;

    /// The answers known here since the last lift: the sums, or the own ones when those are more.
    auto total(const state::version_key& version) const -> evidence;

private:
    /// Evidence on one version from one point of view.
    struct observations {
        evidence since_lift_;
        change_detector detector_;

        auto add(const evidence& batch) -> void;
    };

    /// What is known of one version.
    struct version_evidence {
        /// Never reset: what the others are told.
        evidence own_counts_;
        observations own_router_;
        observations all_routers_;
    };

    auto find(const state::version_key& version) const -> const version_evidence*;

    /// An alarm ends after this time: whatever was wrong may have been mended at the endpoints.
    static constexpr state::duration max_alarm_duration{std::chrono::minutes{10}};

    std::map<state::version_key, version_evidence> versions_;
    report_follower sums_;
    std::set<state::version_key> halted_;
    std::map<state::version_key, state::time_point> alarms_;
};

} // namespace buckthorndale::coordination::roll_out
