#pragma once

#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstddef>
#include <optional>
#include <span>

namespace buckthorndale::coordination::cascade {

/// A version that a request may run on next, with its expected cost, time and quality.
struct cascade_step {
    state::version_key version_;
    /// Expected price of one answer, in micro-credits.
    double expected_cost_{0};
    /// Expected time to a complete, rated answer.
    state::duration expected_time_{0};
    /// Expected share of answers that reach the target, from 0 to 1.
    double pass_rate_{0};
};

/// The planner's choice.
struct cascade_choice {
    std::size_t step_{0};
    /// Whether the request may still escalate, so that the answer is rated before it is delivered.
    bool may_escalate_{false};
    /// Expected price of the whole cascade from here, in micro-credits.
    double expected_cost_{0};
};

/// Chooses the version to run next: the one with the lowest expected price including later escalations, among
/// the continuations that end in time. A final answer that misses the target counts as ten times the most
/// expensive version's price. Steps are ordered from the cheapest to the most expensive.
/// Returns nothing if there are no steps. If no step ends in time, chooses the fastest without escalation.
auto plan_cascade(std::span<const cascade_step> steps, state::duration time_left)
    -> std::optional<cascade_choice>;

} // namespace buckthorndale::coordination::cascade
