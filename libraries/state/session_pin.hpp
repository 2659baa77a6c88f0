#pragma once

#include "state/identifiers.hpp"
#include "state/version_key.hpp"

#include <string>

namespace buckthorndale::state {

/// The version that a session is pinned to. The caller carries it as a token; no instance stores it.
struct session_pin {
    session_id session_;
    version_key version_;

    auto operator==(const session_pin&) const -> bool = default;
};

/// Encodes a pin as a token with a checksum that can be sent in a header field.
auto session_token(const session_pin& pin) -> std::string;

/// Decodes a token. Throws error of kind invalid_request when it is damaged.
auto session_pin_from_token(const std::string& token) -> session_pin;

} // namespace buckthorndale::state
