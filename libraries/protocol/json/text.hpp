#pragma once

#include "state/error.hpp"

#include <json/value.h>

#include <string>
#include <string_view>

namespace buckthorndale::protocol::json {

/// Writes a value without white space.
auto to_text(const Json::Value& value) -> std::string;

/// Writes a value for people, indented.
auto to_indented_text(const Json::Value& value) -> std::string;

/// Reads strict JSON. Throws error of the given kind, with the place of the fault.
auto parse(std::string_view text, state::error_kind kind) -> Json::Value;

/// Reads JSON with comments, as settings are written. Throws error of kind invalid_settings.
auto parse_settings(std::string_view text) -> Json::Value;

} // namespace buckthorndale::protocol::json
