#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <utility>

namespace buckthorndale::transport::ring {

/// A queue between coroutines of one thread: one consumer waits for items, producers may wait for room.
template <typename Item>
class awaitable_queue {
public:
    /// wait_for_room() waits while more than `max_queued` items, or more than `max_bytes` bytes, are queued.
    awaitable_queue(boost::asio::io_context& context, std::size_t max_queued, std::size_t max_bytes)
        : max_queued_{max_queued}, max_bytes_{max_bytes},
          not_empty_{context, boost::asio::steady_timer::time_point::max()},
          not_full_{context, boost::asio::steady_timer::time_point::max()}
    {}

    /// `bytes` is what the item counts for beside being one.
    auto push(Item item, std::size_t bytes = 0) -> void
    {
        if (is_closed_)
            return;
        items_.push_back({.item_ = std::move(item), .bytes_ = bytes});
        queued_bytes_ += bytes;
        not_empty_.cancel();
    }

    /// Removes the next item, waiting until there is one; empty once the queue is closed.
    auto next() -> boost::asio::awaitable<std::optional<Item>>
    {
        while (items_.empty() && !is_closed_)
            co_await wait_on(not_empty_);
        if (is_closed_)
            co_return std::nullopt;
        auto item = std::optional<Item>{std::move(items_.front().item_)};
        queued_bytes_ -= items_.front().bytes_;
        items_.pop_front();
        not_full_.cancel();
        co_return item;
    }

    /// Applies back pressure: waits until the consumer has caught up or the queue is closed.
    auto wait_for_room() -> boost::asio::awaitable<void>
    {
        while ((items_.size() > max_queued_ || queued_bytes_ > max_bytes_) && !is_closed_)
            co_await wait_on(not_full_);
    }

    auto queued_bytes() const -> std::size_t { return queued_bytes_; }

    /// Discards all items, ignores later ones and wakes both sides: nobody needs the items any more.
    auto close() -> void
    {
        is_closed_ = true;
        items_.clear();
        queued_bytes_ = 0;
        not_empty_.cancel();
        not_full_.cancel();
    }

private:
    struct queued_item {
        Item item_;
        std::size_t bytes_{0};
    };

    static auto wait_on(boost::asio::steady_timer& timer) -> boost::asio::awaitable<void>
    {
        auto ignored = boost::system::error_code{};
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }

    std::size_t max_queued_;
    std::size_t max_bytes_;
    std::deque<queued_item> items_;
    std::size_t queued_bytes_{0};
    boost::asio::steady_timer not_empty_;
    boost::asio::steady_timer not_full_;
    bool is_closed_{false};
};

} // namespace buckthorndale::transport::ring
