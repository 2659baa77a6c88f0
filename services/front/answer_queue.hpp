#pragma once

#include "transport/http/types.hpp"
#include "transport/ring/awaitable_queue.hpp"

#include <cstddef>
#include <string>
#include <variant>

namespace buckthorndale::services::front {

/// The head of an answer whose body follows in portions.
struct answer_begun {
    transport::http::response head_;
};

struct answer_portion {
    std::string bytes_;
};

/// An answer that is given out as one.
struct whole_answer {
    transport::http::response answer_;
};

struct answer_ended {};

/// The connection is closed so that the caller sees that the answer is not whole.
struct answer_cut {};

using answer_item = std::variant<answer_begun, answer_portion, whole_answer, answer_ended, answer_cut>;

/// What is to be sent to one caller, in order. The network thread fills and empties it.
using answer_queue = transport::ring::awaitable_queue<answer_item>;

/// Items that a slow caller may hold up before its endpoint is read no further.
inline constexpr auto most_queued_answers = std::size_t{256};

} // namespace buckthorndale::services::front
