#pragma once

#include "transport/http/caller_memory_counts.hpp"

#include <cstddef>
#include <cstdint>

namespace buckthorndale::transport::http {

/// The side that ended a connection.
enum class connection_side : std::uint8_t { caller, instance };

/// What a server holds and has done, for metrics.
struct server_counts {
    std::size_t open_connections_{0};
    std::size_t max_connections_{0};
    /// Connections over the limit that are being refused.
    std::size_t open_refusals_{0};
    /// Connections over the limit, and how many of them were closed without an answer.
    std::uint64_t refused_{0};
    std::uint64_t refused_without_answer_{0};
    /// Connections that ended before the answer to a request, begun or read, was complete.
    std::uint64_t incomplete_by_caller_{0};
    std::uint64_t incomplete_by_instance_{0};
    caller_memory_counts memory_;
};

} // namespace buckthorndale::transport::http
