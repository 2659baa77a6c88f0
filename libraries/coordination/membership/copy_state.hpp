#pragma once

#include "state/store_position.hpp"

#include <cstdint>

namespace buckthorndale::coordination::membership {

/// The copy of one kind of objects that a confirmation is compared with.
struct copy_state {
    state::store_position position_;
    std::uint64_t fingerprint_{0};
};

} // namespace buckthorndale::coordination::membership
