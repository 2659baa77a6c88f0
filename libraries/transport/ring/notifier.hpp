#pragma once

#include "state/units.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace buckthorndale::transport::ring {

/// Lets coroutines of one thread wait for a notification, each with its own timeout.
class notifier {
public:
    explicit notifier(boost::asio::io_context& context) : context_{context} {}

    /// Returns at the next notify_all() or when the timeout expires.
    auto wait(state::duration timeout) -> boost::asio::awaitable<void>
    {
        auto timer = boost::asio::steady_timer{context_, timeout};
        const auto position = waiting_.insert(&timer).first;
        auto ignored = boost::system::error_code{};
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        waiting_.erase(position);
    }

    /// Wakes all coroutines that are waiting now.
    auto notify_all() -> void
    {
        for (auto* timer : waiting_)
            timer->cancel();
    }

private:
    boost::asio::io_context& context_;
    std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace buckthorndale::transport::ring
