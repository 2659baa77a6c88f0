#pragma once

#include "coordination/configuration/replica.hpp"
#include "state/configuration_change.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::configuration {

/// Checks that the same subject has not changed since the generation that a change is based on. This rejects
/// a decision made on an outdated configuration, for example by a process that was suspended meanwhile.
/// Throws error of kind conflict that names the earlier change.
auto check_conflict(const replica& known, state::generation based_on, const state::change_content& content)
    -> void;

} // namespace buckthorndale::coordination::configuration
