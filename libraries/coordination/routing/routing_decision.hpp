#pragma once

#include "state/identifiers.hpp"

#include <cstddef>
#include <string>

namespace buckthorndale::coordination::routing {

/// A logged decision on a request.
struct routing_decision {
    state::request_id request_;
    state::workspace_id workspace_;
    /// The action taken, such as "dispatch", "escalate" or "refuse".
    std::string action_;
    /// The choice made, such as a version and an endpoint.
    std::string choice_;
    /// The number of versions or endpoints to choose from.
    std::size_t candidates_{0};
    std::string reason_;
};

} // namespace buckthorndale::coordination::routing
