#pragma once

#include "transport/http/types.hpp"
#include "transport/ring/awaitable_queue.hpp"

#include <cstddef>
#include <string>
#include <variant>

namespace buckthorndale::services::front {

/// The headers of a streamed answer; the body follows in chunks.
struct answer_started {
    transport::http::response headers_;
};

struct answer_chunk {
    std::string bytes_;
};

/// An answer that is sent with its whole body.
struct complete_answer {
    transport::http::response answer_;
};

struct answer_ended {};

/// The connection is closed, which tells the caller that the answer is incomplete.
struct answer_aborted {
    std::string reason_;
};

using answer_item = std::variant<answer_started, answer_chunk, complete_answer, answer_ended, answer_aborted>;

/// Output for one caller, in order. Both ends are used on the network thread only.
using answer_queue = transport::ring::awaitable_queue<answer_item>;

/// Queued items and bytes after which reading from the endpoint pauses until a slow caller catches up.
inline constexpr auto max_queued_items = std::size_t{256};
inline constexpr auto max_queued_bytes = std::size_t{65'536};

} // namespace buckthorndale::services::front
