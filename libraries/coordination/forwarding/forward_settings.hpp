#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>

namespace buckthorndale::coordination::forwarding {

/// Bounds of one router's forward engine.
struct forward_settings {
    state::data_centre_id data_centre_;
    /// More requests inside are refused; each holds its body in memory.
    std::size_t max_requests_{1500};
    /// Requests of a session follow each other within this time.
    state::duration session_lifetime_{std::chrono::seconds{5}};
    /// Requests that arrive later than this after the stop began are turned away.
    state::duration shutdown_grace_period_{std::chrono::seconds{3}};
    /// Off only in the test that shows what the window is for.
    bool uses_latency_window_{true};
};

} // namespace buckthorndale::coordination::forwarding
