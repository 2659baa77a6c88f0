#pragma once

#include "state/units.hpp"

#include <string>

namespace buckthorndale::protocol::codec {

/// Formats a time as milliseconds since 1970-01-01 UTC.
auto to_text(state::wall_time time) -> std::string;

/// Parses the output of to_text(). Throws error of kind invalid_request.
auto wall_time_from_text(const std::string& text) -> state::wall_time;

} // namespace buckthorndale::protocol::codec
