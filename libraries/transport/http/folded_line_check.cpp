#include "transport/http/folded_line_check.hpp"

namespace buckthorndale::transport::http {

auto folded_line_check::feed(std::string_view bytes) -> bool
{
    for (const auto byte : bytes) {
        if (position_ == position::after_head)
            return false;
        if (byte == '\n') {
            position_ = position_ == position::line_begin ? position::after_head : position::line_begin;
            continue;
        }
        if (position_ != position::line_begin)
            continue;
        if (byte == ' ' || byte == '\t')
            return true;
        // The head ends with a line that has nothing but its end.
        position_ = byte == '\r' ? position::after_head : position::within_line;
    }
    return false;
}

} // namespace buckthorndale::transport::http
