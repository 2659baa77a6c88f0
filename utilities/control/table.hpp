#pragma once

#include <json/value.h>

#include <string>

namespace buckthorndale::utilities::control {

/// Writes an answer of the administration API for people: lists as tables, objects as lines.
auto to_table(const Json::Value& answer) -> std::string;

} // namespace buckthorndale::utilities::control
