#pragma once

#include "coordination/forwarding/endpoint_notice.hpp"
#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <map>

namespace buckthorndale::coordination::forwarding {

/// The endpoints that announced their shutdown. They stay excluded when their entry disappears from the store
/// and an older copy of the store lists it again.
class leaving_endpoints {
public:
    /// Records an announcement. Returns whether it was unknown.
    auto add(const leaving_endpoint& leaving, state::time_point now) -> bool;

    /// Whether the endpoint announced its shutdown under this registration or a later one.
    auto includes(const state::registered_endpoint& endpoint) const -> bool;

    /// Removes announcements that are older than any endpoint that is still shutting down.
    auto forget_old(state::time_point now) -> void;

private:
    struct entry {
        leaving_endpoint leaving_;
        state::time_point heard_at_;
    };

    std::map<state::endpoint_id, entry> entries_;
};

} // namespace buckthorndale::coordination::forwarding
