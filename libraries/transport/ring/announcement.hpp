#pragma once

#include "state/units.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

namespace buckthorndale::transport::ring {

/// Lets coroutines of one thread wait until something is announced, each for a time of its own.
class announcement {
public:
    explicit announcement(boost::asio::io_context& context) : context_{context} {}

    /// Returns at the next announcement, or when the time is over.
    auto wait(state::duration longest) -> boost::asio::awaitable<void>
    {
        auto timer = boost::asio::steady_timer{context_, longest};
        const auto place = waiting_.insert(&timer).first;
        auto ignored = boost::system::error_code{};
        co_await timer.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
        waiting_.erase(place);
    }

    /// Wakes all that wait now.
    auto announce() -> void
    {
        for (auto* timer : waiting_)
            timer->cancel();
    }

private:
    boost::asio::io_context& context_;
    std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace buckthorndale::transport::ring
