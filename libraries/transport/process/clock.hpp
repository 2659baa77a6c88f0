#pragma once

#include "state/units.hpp"

#include <time.h>

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

    /// Like now(), but also advances while the machine is suspended. Its times only compare with each other.
    auto boot_now() const -> state::time_point
    {
        auto time = timespec{};
        ::clock_gettime(CLOCK_BOOTTIME, &time);
        return state::time_point{std::chrono::duration_cast<state::duration>(
            std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec})};
    }

    auto wall_now() const -> state::wall_time
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    }
};

} // namespace buckthorndale::transport::process
