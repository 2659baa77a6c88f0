#pragma once

#include <cstdint>

namespace buckthorndale::coordination::membership {

/// What a confirmation says about the own copy.
enum class confirmation_effect : std::uint8_t {
    /// The copy is current too.
    confirmed,
    /// The copy may lack a change.
    behind,
    /// The confirmation says nothing about the copy.
    none,
};

} // namespace buckthorndale::coordination::membership
