#pragma once

#include "world/random_simulation.hpp"

#include <cstdint>
#include <functional>
#include <string>

namespace buckthorndale::tests::world {

/// The step of the system's work at which a fault is injected.
enum class fault_step : std::uint8_t {
    change_accepted,
    change_spread,
    roll_out_step,
    withdrawal,
    admission,
    claim,
    dispatch,
    stream,
    escalation,
    bill,
    shutdown,
};

inline constexpr auto fault_step_count = 11;

auto to_string(fault_step step) -> std::string;

/// Runs the simulation until the step is reached, then calls at_step at that virtual time.
/// Returns false when the step was not reached within the timeout.
auto run_to_step(random_simulation& run, fault_step step, const std::function<void()>& at_step) -> bool;

} // namespace buckthorndale::tests::world
