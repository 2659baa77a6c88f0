#pragma once

#include "state/units.hpp"

namespace buckthorndale::state {

/// What the endpoints of a service bear while they are cold, as they are after a start. One that gets clearly
/// more fails.
struct cold_start {
    /// How long an endpoint is cold.
    duration time_{0};
    /// The requests a second that a cold endpoint takes from all instances together.
    double rate_{0};

    auto operator==(const cold_start&) const -> bool = default;
};

} // namespace buckthorndale::state
