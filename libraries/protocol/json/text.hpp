#pragma once

#include "protocol/json/partial_value.hpp"
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

/// Parses JSON whose parts come from different writers, so that one bad part does not spoil the others. Down
/// to `levels` below the root, an unreadable element of an array is left out, and an unreadable member of an
/// object becomes null. An object that names a member twice is unreadable as a whole. The result is not
/// nested more deeply than parse() accepts. Throws error of the given kind if the root cannot be read.
auto parse_readable_parts(std::string_view text, int levels, state::error_kind kind) -> partial_value;

/// Parses the JSON dialect of settings files: comments and trailing commas are allowed, duplicate keys are
/// not. Throws error of kind invalid_settings.
auto parse_settings(std::string_view text) -> Json::Value;

} // namespace buckthorndale::protocol::json
