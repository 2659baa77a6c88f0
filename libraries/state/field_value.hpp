#pragma once

#include <string_view>

namespace buckthorndale::state {

/// Whether a text arrives unchanged as the value of a header field (RFC 9110, section 5.5): it has no control
/// characters, no blanks at its ends, and is not too long for the head of a message.
auto is_field_value(std::string_view text) -> bool;

} // namespace buckthorndale::state
