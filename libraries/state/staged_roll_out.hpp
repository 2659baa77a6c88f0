#pragma once

#include "state/identifiers.hpp"
#include "state/store_position.hpp"
#include "state/units.hpp"

#include <compare>
#include <cstdint>

namespace buckthorndale::state {

enum class staged_roll_out_state : std::uint8_t {
    /// Ordered, with no progress recorded yet.
    ordered,
    running,
    completed,
    rolled_back,
};

/// An operator's order to move a service to a version, and its recorded progress.
struct staged_roll_out {
    service_name service_;
    version_name target_;
    /// The time in which the roll-out is to complete.
    duration time_allowed_{0};
    staged_roll_out_state state_{staged_roll_out_state::ordered};
    /// The era in which the record was read from the store.
    store_era era_;
    /// The revision of the record, for conditional updates.
    std::uint64_t revision_{0};
    /// Distinguishes this order from earlier ones of the same era for the same service and target.
    std::uint64_t created_{0};
};

} // namespace buckthorndale::state
