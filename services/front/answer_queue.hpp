#pragma once

#include "transport/http/types.hpp"

#include <boost/asio/steady_timer.hpp>

#include <deque>
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
class answer_queue {
public:
    explicit answer_queue(transport::http::asio::io_context& context)
        : filled_{context, transport::http::asio::steady_timer::time_point::max()},
          emptied_{context, transport::http::asio::steady_timer::time_point::max()}
    {}

    auto push(answer_item item) -> void;

    /// Waits for the next item.
    auto next() -> transport::http::awaitable<answer_item>;

    /// Waits while more items are queued than a slow caller should hold up.
    auto wait_for_room() -> transport::http::awaitable<void>;

    /// Takes no more items, since nobody reads them.
    auto close() -> void;

private:
    static constexpr std::size_t most_queued{256};

    std::deque<answer_item> items_;
    transport::http::asio::steady_timer filled_;
    transport::http::asio::steady_timer emptied_;
    bool is_closed_{false};
};

} // namespace buckthorndale::services::front
