#pragma once

#include <cstdint>
#include <string_view>

namespace buckthorndale::transport::http {

/// Looks for a line within a message's head that begins with a blank. A sender may mean it as the rest of the
/// line before (RFC 9112, section 5.2) or as a field of its own, so readers may differ.
class folded_line_check {
public:
    /// Takes the next bytes of the message; those after the head are ignored. Returns whether such a line has
    /// begun.
    auto feed(std::string_view bytes) -> bool;

private:
    enum class position : std::uint8_t {
        start_line,
        line_begin,
        within_line,
        after_head,
    };

    position position_{position::start_line};
};

} // namespace buckthorndale::transport::http
