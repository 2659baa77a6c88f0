#pragma once

#include "coordination/suspicion/blocked_part.hpp"
#include "coordination/suspicion/crashed_attempt.hpp"
#include "coordination/suspicion/evidence_limits.hpp"
#include "coordination/suspicion/recent_times.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace buckthorndale::coordination::suspicion {

/// Finds the parts of prompts that crash endpoints, from crashes and answers that all instances report.
///
/// An endpoint crashes with many requests in progress, and the first parts of a prompt are shared by most
/// callers of a route, so presence at a crash proves little. Three things tell the part that causes
/// the crashes from the others: no answer on it begins and goes on; it is present at one crash after the
/// other, among requests that were sent after the one before, while endpoints that fail for another reason do
/// so at the same time; and it explains the crashes at which the others were present.
///
/// The contents of whole requests are judged in the same way, apart from the parts and with other limits.
class part_suspects {
public:
    using part_keys = std::vector<state::prompt_part_key>;

    part_suspects() = default;

    explicit part_suspects(const evidence_limits& limits) : limits_{limits} {}

    /// Records an attempt of any instance that a crash ended.
    auto record_crash(const crashed_attempt& attempt, state::time_point now) -> void;

    /// Records that an answer on the parts began and went on. Returns those that were suspected or blocked
    /// because of earlier crashes, for the other instances.
    auto record_answer(const part_keys& parts, state::time_point began_at) -> part_keys;

    /// Whether a request with these parts would crash another endpoint.
    auto is_blocked(const part_keys& parts) const -> bool;

    /// Whether a request with blocked parts may be sent to find out whether they still crash endpoints. If
    /// so, the next trial is postponed; the other instances must be told by blocked_parts(). `draw` is from 0
    /// to 1.
    auto begin_trial(const part_keys& parts, state::time_point now, double draw) -> bool;

    /// Time until the next trial of a request with these parts.
    auto time_to_trial(const part_keys& parts, state::time_point now) const -> state::duration;

    /// Blocks the parts for which the evidence suffices; returns them. To be called often.
    auto judge(state::time_point now) -> part_keys;

    /// Sets the time of the next trial of a blocked part; `draw` from 0 to 1 spreads those of different
    /// instances.
    auto postpone_trial(state::prompt_part_key part, state::time_point now, double draw) -> void;

    /// The blocked parts, for the other instances, which may have started since.
    auto blocked_parts(state::time_point now) const -> std::vector<blocked_part>;

    /// Takes over another instance's block. Returns false if an answer has cleared the part since.
    auto record_remote_block(const blocked_part& blocked, state::time_point now) -> bool;

    /// The time since an answer last cleared the part, if one did.
    auto cleared_ago(state::prompt_part_key part, state::time_point now) const
        -> std::optional<state::duration>;

    auto forget_old(state::time_point now) -> void;

    auto size() const -> std::size_t { return suspects_.size(); }

private:
    using crash_number = std::uint64_t;

    struct crash {
        crash_number number_{0};
        state::endpoint_id endpoint_;
        state::time_point at_;
    };

    struct suspect {
        /// The crashes at which the part was present since an answer on it last began.
        std::set<crash_number> crashes_;
        /// Those of them that each ended an attempt that was sent after the one before.
        std::vector<crash_number> sequence_;
        state::time_point last_crash_;
        state::time_point crash_before_;
        /// Whether an answer on the part had begun not long before its first crash.
        bool was_sound_{false};
        bool is_blocked_{false};
        state::time_point trial_at_{};
        /// Until the next trial but one; zero before the first verdict.
        state::duration trial_interval_{0};
    };

    /// Several attempts, at several instances, report the same crash.
    auto find_or_add_crash(const state::endpoint_id& endpoint, state::time_point now) -> crash_number;
    /// Drops the crashes before an answer that began at a time. Returns whether there were any.
    auto drop_refuted_crashes(suspect& item, state::time_point began_at) const -> bool;
    /// The crashes that no blocked part explains.
    auto unexplained(const suspect& item) const -> std::set<crash_number>;
    /// Whether the part was present at enough crashes in sequence, and had time to be cleared since.
    auto has_enough_evidence(const suspect& item, state::time_point now) const -> bool;
    /// How much a crash counts: endpoints that fail together fail for a reason of their own.
    auto weight_of(crash_number number) const -> double;
    /// The part that explains most crashes, if the evidence suffices.
    auto find_cause(state::time_point now) const -> std::optional<state::prompt_part_key>;
    auto postpone(suspect& item, state::time_point now, double draw) const -> void;
    auto drop_oldest() -> void;

    static constexpr std::size_t min_sequence{2};
    /// Crashes of different endpoints within this time count as one.
    static constexpr state::duration same_cause_time{std::chrono::milliseconds{150}};
    static constexpr state::duration sound_memory{std::chrono::minutes{1}};
    /// Blocked parts and cleared ones count apart.
    static constexpr std::size_t max_suspects{4096};
    /// An endpoint takes seconds to restart, and instances report a crash within a fraction of a second.
    static constexpr state::duration same_crash_time{std::chrono::milliseconds{1500}};
    /// Requests that a crash ended are sent again at once, so a part that causes no crashes is cleared by
    /// then.
    static constexpr state::duration settling_time{std::chrono::milliseconds{600}};
    static constexpr state::duration max_trial_interval{std::chrono::minutes{10}};
    static constexpr state::duration retention{std::chrono::minutes{30}};

    evidence_limits limits_;
    std::map<state::prompt_part_key, suspect> suspects_;
    std::deque<crash> crashes_;
    crash_number last_crash_number_{0};
    /// When the last answer began that cleared a part.
    std::map<state::prompt_part_key, state::time_point> cleared_;
    /// When the last answer began on a part, suspected or not.
    recent_times answered_;
};

} // namespace buckthorndale::coordination::suspicion
