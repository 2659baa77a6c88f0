#pragma once

#include <cstddef>
#include <cstdint>

namespace buckthorndale::transport::http {

/// What callers make a process hold, in bytes, and what was done to bound it, for metrics.
struct caller_memory_counts {
    std::size_t held_{0};
    std::size_t limit_{0};
    /// Holders that gave way to others.
    std::uint64_t evicted_{0};
    /// Holders that got no more since nobody else gave way.
    std::uint64_t refused_{0};
};

} // namespace buckthorndale::transport::http
