#pragma once

#include "protocol/json/unreadable_part.hpp"

#include <json/value.h>

#include <vector>

namespace buckthorndale::protocol::json {

/// What can be read of a text in which parts are not valid JSON.
struct partial_value {
    Json::Value value_;
    std::vector<unreadable_part> unreadable_;
};

} // namespace buckthorndale::protocol::json
