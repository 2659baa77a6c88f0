#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>

namespace buckthorndale::coordination::forwarding {

/// Limits of one router's forward engine.
struct forward_settings {
    state::instance_id instance_;
    state::data_centre_id data_centre_;
    /// Requests beyond this number are refused, since each holds its body in memory.
    std::size_t max_requests_{1500};
    /// A session's version pin expires after this time without a request.
    state::duration session_lifetime_{std::chrono::seconds{5}};
    /// New requests are accepted for this long after a shutdown begins.
    state::duration shutdown_grace_period_{std::chrono::seconds{3}};
    /// Off only in the test that measures the effect of the latency window.
    bool uses_latency_window_{true};
    /// Whether operators may order to empty data centres, so that an instance is not ready before it knows
    /// the orders.
    bool follows_emptying_{false};
    /// Whether workspaces share the endpoints fairly while requests wait.
    bool shares_by_workspace_{false};
    /// Whether the load that each endpoint takes well is learned from its answers.
    bool learns_capacity_{false};
};

} // namespace buckthorndale::coordination::forwarding
