#pragma once

#include "state/units.hpp"

namespace buckthorndale::transport::process {

/// The operating system's clocks.
class system_clock {
public:
    /// Monotonic; advances while the process is stopped.
    auto now() const -> state::time_point
    {
        const auto since = std::chrono::steady_clock::now().time_since_epoch();
        return state::time_point{std::chrono::duration_cast<state::duration>(since)};
    }

    auto wall_now() const -> state::wall_time
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace buckthorndale::transport::process
