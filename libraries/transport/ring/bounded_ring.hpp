#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/lockfree/spsc_queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <utility>

/// Queues between threads of a process and between coroutines of a thread.
namespace buckthorndale::transport::ring {

/// A bounded ring buffer from one producer thread to one consumer thread, which is woken for new items.
/// Pushing to a full ring fails; it never blocks.
template <typename Item>
class bounded_ring {
public:
    using consumer = std::function<void(Item&)>;

    /// `consume` is called for each item on the thread that runs `context`.
    bounded_ring(std::size_t capacity, boost::asio::io_context& context, consumer consume)
        : queue_{capacity}, context_{context}, consume_{std::move(consume)}
    {}

    /// Adds an item; producer thread only. Returns false when the ring is full.
    auto try_push(Item item) -> bool
    {
        if (!queue_.push(std::move(item)))
            return false;
        if (!is_wake_pending_.exchange(true))
            boost::asio::post(context_, [this] { drain(); });
        return true;
    }

    /// The number of items that can be added now; producer thread only.
    auto room() const -> std::size_t { return queue_.write_available(); }

private:
    auto drain() -> void
    {
        // Cleared before reading, so that an item added after the last pop() posts a new wake-up.
        is_wake_pending_.store(false);
        auto item = Item{};
        while (queue_.pop(item))
            consume_(item);
    }

    boost::lockfree::spsc_queue<Item> queue_;
    boost::asio::io_context& context_;
    consumer consume_;
    std::atomic<bool> is_wake_pending_{false};
};

} // namespace buckthorndale::transport::ring
