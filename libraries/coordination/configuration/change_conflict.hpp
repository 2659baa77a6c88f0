#pragma once

#include "coordination/configuration/replica.hpp"
#include "state/configuration_change.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::configuration {

/// Checks that nobody changed the same subject after the generation that a change is based on. Whoever
/// decided on an older configuration, such as a process that was frozen since, is turned down here.
/// Throws error of kind conflict, which names the change that came first.
auto check_conflict(const replica& known, state::generation based_on, const state::change_content& content)
    -> void;

} // namespace buckthorndale::coordination::configuration
