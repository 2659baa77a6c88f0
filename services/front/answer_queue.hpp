#pragma once

#include "transport/http/types.hpp"
#include "transport/ring/awaitable_queue.hpp"

#include <cstddef>
#include <string>
#include <variant>

namespace buckthorndale::services::front {

/// The head of an answer whose body follows in portions.
struct answer_started {
    transport::http::response headers_;
};

struct answer_chunk {
    std::string bytes_;
};

/// An answer that is given out as one.
struct complete_answer {
    transport::http::response answer_;
};

struct answer_ended {};

/// The connection is closed so that the caller sees that the answer is not whole.
struct answer_aborted {};

using answer_item = std::variant<answer_started, answer_chunk, complete_answer, answer_ended, answer_aborted>;

/// What is to be sent to one caller, in order. The network thread fills and empties it.
using answer_queue = transport::ring::awaitable_queue<answer_item>;

/// Items that a slow caller may hold up before its endpoint is read no further.
inline constexpr auto max_queued_items = std::size_t{256};

} // namespace buckthorndale::services::front
