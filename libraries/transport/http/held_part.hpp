#pragma once

#include <cstddef>
#include <cstdint>

namespace buckthorndale::transport::http {

/// What the memory that a caller makes the process hold is used for.
enum class held_part : std::uint8_t {
    /// The connection itself, with the bytes that lie unread in its socket.
    connection,
    /// The head and the body of a request, complete or not.
    message,
    /// What was read out of the request, in the form in which it is decided on.
    decision,
    /// The parts of an answer that wait for their turn to be written.
    queue,
    /// The part of an answer that is being written.
    answer,
    /// A connection over the limits that is being refused.
    refusal,
};

inline constexpr auto held_part_count = std::size_t{6};

} // namespace buckthorndale::transport::http
