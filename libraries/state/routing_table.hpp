#pragma once

#include "state/cold_start.hpp"
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

/// Limits on the size of callers' requests, the time to send them and the idle time of connections.
struct caller_limits {
    std::size_t largest_header_{16'384};
    std::size_t largest_body_{4'194'304};
    duration request_limit_{std::chrono::seconds{10}};
    duration idle_limit_{std::chrono::seconds{75}};

    auto operator==(const caller_limits&) const -> bool = default;
};

/// The workspace that owns an API key.
struct key_owner {
    workspace_id workspace_;
    /// Overrides the route's priority.
    std::optional<std::int32_t> priority_;
};

/// The operators' configuration for forwarded requests, as of one generation.
struct routing_table {
    generation generation_;
    std::vector<route> routes_;
    caller_limits limits_;
    std::map<std::string, key_owner, std::less<>> keys_;
    /// The path of a request that an endpoint of the service answers without running anything.
    std::map<service_name, std::string> probe_paths_;
    /// The path of the services' health checks, whose answers name the endpoint.
    std::map<service_name, std::string> health_paths_;
    /// The services whose endpoints bear less while they are cold.
    std::map<service_name, cold_start> cold_starts_;
    /// The names of workspaces and models that are left out since no header can hold them.
    std::vector<std::string> unusable_names_;
    /// Whether requests require a key.
    bool needs_keys_{false};

    /// The route of the host with the longest prefix that matches the path; null when none matches.
    auto find_route(std::string_view host, std::string_view path) const -> const route*;

    /// The path with which to probe the service's endpoints; "/" if none is configured, which endpoints
    /// answer too.
    auto probe_path(const service_name& service) const -> std::string;

    /// The path of the service's health check; "/" if none is configured.
    auto health_path(const service_name& service) const -> std::string;
};

} // namespace buckthorndale::state
