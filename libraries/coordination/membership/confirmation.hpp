#pragma once

#include "state/store_position.hpp"
#include "state/units.hpp"

#include <cstdint>

namespace buckthorndale::coordination::membership {

/// An instance's statement that its objects of one kind were current.
struct confirmation {
    /// The position up to which the store has no other change of this kind.
    state::store_position position_;
    /// Identifies the state of all objects of the kind.
    std::uint64_t fingerprint_{0};
    /// Time since the read was sent that showed it.
    state::duration age_{0};
};

} // namespace buckthorndale::coordination::membership
