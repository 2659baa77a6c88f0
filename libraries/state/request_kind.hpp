#pragma once

#include <cstdint>

namespace buckthorndale::state {

/// What may be repeated, and how the answer comes.
enum class request_kind : std::uint8_t {
    /// May run more than once.
    safe,
    /// Runs at most once for each caller attempt.
    non_idempotent,
    /// Answered by a stream of events; repeatable only where its route can be resumed.
    stream,
};

} // namespace buckthorndale::state
