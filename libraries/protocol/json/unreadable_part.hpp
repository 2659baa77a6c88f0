#pragma once

#include <string>

namespace buckthorndale::protocol::json {

/// A part of a text that is not valid JSON.
struct unreadable_part {
    /// Such as `items[3].spec`.
    std::string path_;
    std::string reason_;
};

} // namespace buckthorndale::protocol::json
