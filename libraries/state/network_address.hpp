#pragma once

#include <compare>
#include <cstdint>
#include <ostream>
#include <string>

namespace buckthorndale::state {

/// An IP address and a port. Host names are never resolved.
struct network_address {
    std::string host_;
    std::uint16_t port_{0};

    auto operator<=>(const network_address&) const = default;

    auto text() const -> std::string { return host_ + ":" + std::to_string(port_); }

    friend auto operator<<(std::ostream& stream, const network_address& address) -> std::ostream&
    {
        return stream << address.text();
    }
};

/// Parses `host:port`. Throws error of kind invalid_settings when a part is missing or out of range.
auto network_address_from_text(const std::string& text) -> network_address;

} // namespace buckthorndale::state
