#pragma once

#include "state/error.hpp"

#include <json/value.h>

#include <string>
#include <string_view>

namespace buckthorndale::protocol::json {

/// Serialises a value without whitespace.
auto to_text(const Json::Value& value) -> std::string;

/// Serialises a value with indentation, for people to read.
auto to_indented_text(const Json::Value& value) -> std::string;

/// Parses strict JSON. Throws error of the given kind, which includes the location of the syntax error.
auto parse(std::string_view text, state::error_kind kind) -> Json::Value;

/// Parses the JSON dialect of settings files: comments and trailing commas are allowed, duplicate keys are
/// not. Throws error of kind invalid_settings.
auto parse_settings(std::string_view text) -> Json::Value;

} // namespace buckthorndale::protocol::json
