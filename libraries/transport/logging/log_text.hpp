#pragma once

#include <string>
#include <string_view>

namespace buckthorndale::transport::logging {

/// Any text as the value of a field of a log line: one word, whatever it holds. Blanks, quotes and characters
/// outside ASCII are percent-encoded.
auto field_text(std::string_view text) -> std::string;

/// Any text between the quotes that follow a field's name. Quotes within it are percent-encoded.
auto quoted_text(std::string_view text) -> std::string;

/// A line of the log: control characters are percent-encoded, and what exceeds 4000 bytes is cut off.
auto line_text(std::string_view line) -> std::string;

} // namespace buckthorndale::transport::logging
