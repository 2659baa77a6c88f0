#pragma once

#include "state/units.hpp"

#include <cstdint>

namespace buckthorndale::coordination::admission {

/// Limits how many requests of one service a router has in flight at its endpoints. The window shrinks while
/// the time to first byte is late and grows again while it is in time (additive increase, multiplicative
/// decrease: Chiu and Jain, 1989). Routers need no coordination, since all observe the same latency.
///
/// Load pattern: after a loss of endpoints or a burst of requests, the endpoints' queues grow beyond the
/// callers' timeouts. Without a window, every request would wait behind requests that time out as well.
class latency_window {
public:
    /// Records a time to first byte, or that no byte has arrived after this time.
    auto record_first_byte(state::duration time, state::duration objective, std::int32_t in_flight,
                           state::time_point now) -> void;

    /// Records that an endpoint declined a request for lack of capacity.
    auto record_declined(state::time_point now) -> void { shrink(now); }

    /// Whether one more request may start. Less urgent requests may use only part of the window, which leaves
    /// room for more urgent ones. `priority` 0 is the most urgent.
    auto admits(std::int32_t in_flight, std::int32_t priority) const -> bool;

    auto size() const -> double { return size_; }

private:
    auto shrink(state::time_point now) -> void;

    static constexpr double initial_size{24};
    static constexpr double min_size{3};
    static constexpr double max_size{256};

    double size_{initial_size};
    state::time_point shrunk_at_{};
};

} // namespace buckthorndale::coordination::admission
