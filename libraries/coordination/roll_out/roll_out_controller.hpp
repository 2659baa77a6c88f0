#pragma once

#include "coordination/roll_out/evidence.hpp"
#include "coordination/roll_out/roll_out_proposal.hpp"
#include "coordination/roll_out/sequential_test.hpp"
#include "coordination/roll_out/version_guard.hpp"
#include "state/configuration.hpp"
#include "state/identifiers.hpp"
#include "state/member.hpp"
#include "state/units.hpp"

#include <map>
#include <optional>
#include <vector>

namespace buckthorndale::coordination::roll_out {

/// Advances and halts automatic roll-outs based on evidence. Every instance runs a controller and tracks
/// every roll-out, so that any of them can take over at once. There is no lease: a step is a conditional
/// change of the configuration based on the generation that was read, and only one change per base
/// generation is accepted. Instances propose in turns, which only saves calls to the platform.
class roll_out_controller {
public:
    explicit roll_out_controller(state::instance_id self) : self_{std::move(self)} {}

    /// The proposals that are due from this instance now.
    auto decide(const state::configuration& configuration, version_guard& guard,
                const std::vector<state::member>& members, state::time_point now)
        -> std::vector<roll_out_proposal>;

private:
    /// The counts of the two versions of a roll-out.
    struct evidence_pair {
        evidence from_;
        evidence to_;
    };

    /// The state that is kept for a roll-out.
    struct tracked_roll_out {
        state::roll_out last_seen_;
        state::time_point step_began_;
        /// Counts when the new version first got traffic.
        evidence_pair at_start_;
        /// Counts of the new version when the step began.
        evidence to_at_step_;
        /// The state to propose, if it differs from the current one, and since when.
        std::optional<state::roll_out> desired_;
        state::time_point desired_since_;
    };

    static auto counts_of(const state::roll_out& roll_out, const version_guard& guard) -> evidence_pair;
    static auto begin_tracking(const state::roll_out& roll_out, const version_guard& guard,
                               state::time_point now) -> tracked_roll_out;

    /// Records the current state of a roll-out; a change of state starts a new step.
    auto observe(const state::roll_out& roll_out, version_guard& guard, state::time_point now)
        -> tracked_roll_out&;

    /// The state that the evidence calls for, or nothing if the roll-out stays as it is.
    static auto desired_state(const tracked_roll_out& tracked, const version_guard& guard,
                              const sequential_test_settings& settings, state::time_point now)
        -> std::optional<state::roll_out>;

    static auto update_desired(tracked_roll_out& tracked, std::optional<state::roll_out> desired,
                               state::time_point now) -> void;
    static auto propose(state::generation based_on, const tracked_roll_out& tracked) -> roll_out_proposal;
    auto is_own_turn(const tracked_roll_out& tracked, const std::vector<state::member>& members,
                     state::time_point now) const -> bool;

    state::instance_id self_;
    std::map<state::model_name, tracked_roll_out> tracked_;
};

/// The emphasis for judging a roll-out: exposure if any profile that lists one of its versions sets it.
auto emphasis_of(const state::configuration& configuration, const state::roll_out& roll_out)
    -> state::roll_out_emphasis;

/// How long an instance waits for the instances with earlier turns before it proposes a change itself.
auto turn_delay(const state::instance_id& self, const state::model_name& model,
                const std::vector<state::member>& members) -> state::duration;

} // namespace buckthorndale::coordination::roll_out
