#pragma once

#include "state/strong_number.hpp"

#include <compare>
#include <cstdint>

namespace buckthorndale::state {

/// Rises by one each time the platform's store is restored from a copy; 0 when it is not known.
using store_era = strong_number<struct store_era_tag, std::uint64_t>;

/// A state of the store. A restored store gives revisions out again, so they compare within one era only.
struct store_position {
    store_era era_;
    std::uint64_t revision_{0};

    auto operator<=>(const store_position&) const = default;
};

} // namespace buckthorndale::state
