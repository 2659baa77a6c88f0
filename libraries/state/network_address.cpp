#include "state/network_address.hpp"

#include "state/error.hpp"
#include "state/number_from_text.hpp"

namespace buckthorndale::state {

auto network_address_from_text(const std::string& text) -> network_address
{
    const auto colon = text.rfind(':');
    if (colon != std::string::npos && colon > 0) {
        const auto port = number_from_text<std::uint16_t>(std::string_view{text}.substr(colon + 1));
        if (port.value_or(0) != 0)
            return {.host_ = text.substr(0, colon), .port_ = *port};
    }
    throw error{error_kind::invalid_settings, "'" + text + "' is not a network address.",
                "Write an IP address, a colon and a port from 1 to 65535."};
}

} // namespace buckthorndale::state
