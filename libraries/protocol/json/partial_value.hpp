#pragma once

#include "state/error.hpp"

#include <json/value.h>

#include <string>
#include <string_view>
#include <vector>

namespace buckthorndale::protocol::json {

/// A part of a text that is not valid JSON.
struct unreadable_part {
    /// Such as `items[3].spec`.
    std::string path_;
    std::string reason_;
};

/// What can be read of a text in which parts are not valid JSON.
struct partial_value {
    Json::Value value_;
    std::vector<unreadable_part> unreadable_;
};

/// Parses JSON whose parts come from different writers, so that one bad part does not spoil the others. Down
/// to `levels` below the root, an unreadable element of an array is left out, and an unreadable member of an
/// object becomes null. An object that names a member twice is unreadable as a whole. The result is not
/// nested more deeply than parse() accepts. Throws error of the given kind if the root cannot be read.
auto parse_readable_parts(std::string_view text, int levels, state::error_kind kind) -> partial_value;

} // namespace buckthorndale::protocol::json
