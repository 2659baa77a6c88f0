#pragma once

#include "state/units.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <utility>

namespace buckthorndale::transport::worker {

/// Calls a function periodically on a worker's thread. Each interval starts at the end of the previous call.
/// All calls come from that thread.
class ticker {
public:
    ticker(boost::asio::io_context& context, state::duration interval, std::function<void()> on_tick)
        : timer_{context}, interval_{interval}, on_tick_{std::move(on_tick)}
    {}

    auto start() -> void { schedule(interval_); }

    /// Lets the next call come within this time at the latest, and the following ones as before.
    auto hasten(state::duration interval) -> void
    {
        if (timer_.expiry() - boost::asio::steady_timer::clock_type::now() > interval)
            schedule(interval);
    }

private:
    auto schedule(state::duration interval) -> void
    {
        timer_.expires_after(interval);
        timer_.async_wait([this](boost::system::error_code fault) {
            if (fault)
                return;
            on_tick_();
            schedule(interval_);
        });
    }

    boost::asio::steady_timer timer_;
    state::duration interval_;
    std::function<void()> on_tick_;
};

} // namespace buckthorndale::transport::worker
