#pragma once

#include "world/random_simulation.hpp"

namespace buckthorndale::tests::world {

/// Prints all trace lines that contain the value of the variable BUCKTHORNDALE_TRACE, then the last lines of
/// the trace.
auto print_trace(const random_simulation& run) -> void;

} // namespace buckthorndale::tests::world
