#include "state/invariant.hpp"

namespace buckthorndale::state {

auto verify(bool holds, guarantee which, std::string_view text, std::source_location location) -> void
{
    if (holds)
        return;
    auto message = std::string{to_string(which)};
    message.append(": ").append(text);
    message.append(" (")
        .append(location.file_name())
        .append(":")
        .append(std::to_string(location.line()))
        .append(")");
    throw invariant_violation{which, message};
}

} // namespace buckthorndale::state
