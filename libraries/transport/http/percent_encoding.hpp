#pragma once

#include <string>
#include <string_view>

namespace buckthorndale::transport::http {

/// Any text as one segment of a path, or as the value of a query parameter (RFC 3986, section 2).
auto encode_component(std::string_view text) -> std::string;

/// Any text as the rest of a path; slashes separate its segments.
auto encode_path(std::string_view text) -> std::string;

/// A path, which may have a query, as a target: characters that no target may hold are encoded, and escape
/// sequences stay as they are.
auto encode_target(std::string_view text) -> std::string;

} // namespace buckthorndale::transport::http
