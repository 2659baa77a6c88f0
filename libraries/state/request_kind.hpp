#pragma once

#include <cstdint>

namespace buckthorndale::state {

/// Whether a request may be repeated, and how its answer is delivered.
enum class request_kind : std::uint8_t {
    /// May run more than once.
    safe,
    /// Runs at most once for each caller attempt.
    non_idempotent,
    /// Answered by a stream of events; repeatable only if its route is resumable.
    stream,
};

} // namespace buckthorndale::state
