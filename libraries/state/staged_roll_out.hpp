#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <compare>
#include <cstdint>

namespace buckthorndale::state {

enum class staged_roll_out_state : std::uint8_t {
    /// Ordered, but nothing is recorded about its progress.
    ordered,
    running,
    completed,
    rolled_back,
};

/// An operator's order to move a service to a version, and what is recorded of its progress.
struct staged_roll_out {
    service_name service_;
    version_name target_;
    /// The time in which it is to be done.
    duration time_allowed_{0};
    staged_roll_out_state state_{staged_roll_out_state::ordered};
    /// The revision of the record, for conditional updates.
    std::uint64_t revision_{0};
    /// Tells this order from earlier ones on the same service with the same target.
    std::uint64_t created_{0};
};

} // namespace buckthorndale::state
