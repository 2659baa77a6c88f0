#pragma once

#include <optional>
#include <string_view>
#include <vector>

namespace buckthorndale::protocol::json {

/// The texts of the elements of an array, or of the members of an object.
struct container_text {
    struct part {
        /// With its quotes; empty for the elements of an array.
        std::string_view name_;
        std::string_view value_;
    };

    bool is_array_{false};
    std::vector<part> parts_;
};

/// Splits the text of an array or an object without reading its parts, which need not be valid; only their
/// strings and brackets must end. Does not recurse, however deeply they are nested. Returns none for other
/// texts.
auto split_container(std::string_view text) -> std::optional<container_text>;

} // namespace buckthorndale::protocol::json
