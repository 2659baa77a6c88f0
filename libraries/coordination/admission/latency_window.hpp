#pragma once

#include "state/units.hpp"

#include <cstdint>

namespace buckthorndale::coordination::admission {

/// How many requests of one service a router keeps at its endpoints at once. The window follows the time to
/// the head of an answer: it closes while answers come late and opens again while they come in time (additive
/// increase, multiplicative decrease: Chiu and Jain, 1989). Routers need not know of each other: all see the
/// same lateness.
///
/// Load pattern: endpoints were lost or callers came in a burst, and the endpoints' queues grow beyond the
/// time that callers wait. Without a window every request waits in vain behind others that do.
class latency_window {
public:
    /// Notes the head of an answer, or that it has not come after this time.
    auto record_first_byte(state::duration time, state::duration objective, std::int32_t in_flight,
                           state::time_point now) -> void;

    /// Notes that an endpoint had no room.
    auto record_declined(state::time_point now) -> void { shrink(now); }

    /// Whether one more request may start. Less urgent ones are held back before the window is full, so that
    /// more urgent ones find room. `priority` 0 is the most urgent.
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
