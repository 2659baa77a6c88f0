#pragma once

#include "state/configuration.hpp"
#include "state/configuration_change.hpp"

#include <string>

/// Validates, orders and applies configuration changes.
namespace buckthorndale::coordination::configuration {

/// Validates a change against the configuration that it would be applied to.
/// Throws error: invalid_request for an invalid change, not_found for a missing reference, conflict for the
/// removal of an object that is in use.
auto check_change(const state::configuration& before, const state::configuration_change& change) -> void;

/// Returns the configuration after the change, which must have the next generation and the same history.
/// The caller must have checked the content. Guarantee: configuration_moves_forward.
auto apply_change(const state::configuration& before, const state::configuration_change& change)
    -> state::configuration;

/// Names the object that a change affects, such as `profile quick`. Changes of one subject can conflict.
auto change_subject(const state::change_content& content) -> std::string;

} // namespace buckthorndale::coordination::configuration
