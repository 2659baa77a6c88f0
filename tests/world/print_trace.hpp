#pragma once

#include "world/random_simulation.hpp"

namespace buckthorndale::tests::world {

/// Prints the end of a run's trace, and all lines with the text of the variable BUCKTHORNDALE_TRACE.
auto print_trace(const random_simulation& run) -> void;

} // namespace buckthorndale::tests::world
