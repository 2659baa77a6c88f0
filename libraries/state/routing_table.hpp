#pragma once

#include "state/identifiers.hpp"
#include "state/route.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace buckthorndale::state {

/// What callers may send, and how long they may take or stay idle.
struct caller_limits {
    std::size_t largest_header_{16'384};
    std::size_t largest_body_{4'194'304};
    duration request_limit_{std::chrono::seconds{10}};
    duration idle_limit_{std::chrono::seconds{75}};

    auto operator==(const caller_limits&) const -> bool = default;
};

/// Whom a key belongs to.
struct key_owner {
    workspace_id workspace_;
    /// Goes before the route's priority.
    std::optional<std::int32_t> priority_;
};

/// What the operators configured for forwarded requests, as of one generation.
struct routing_table {
    generation generation_;
    std::vector<route> routes_;
    caller_limits limits_;
    std::map<std::string, key_owner, std::less<>> keys_;
    /// Whether requests need a key at all.
    bool needs_keys_{false};

    /// The route of the host with the longest prefix that begins the path; null when there is none.
    auto find_route(std::string_view host, std::string_view path) const -> const route*;
};

} // namespace buckthorndale::state
