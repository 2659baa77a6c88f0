#pragma once

#include "coordination/routing/engine_settings.hpp"
#include "protocol/settings/log_settings.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "transport/http/server_settings.hpp"

#include <optional>
#include <string>

/// The caller-facing router.
namespace buckthorndale::services::router {

struct router_settings {
    state::instance_id instance_;
    state::data_centre_id data_centre_;
    /// The server for callers.
    transport::http::server_settings callers_;
    /// The address at which agents and other routers reach this router.
    state::network_address control_;
    /// The agent of this instance.
    state::network_address agent_;
    /// The rating service; no answers are rated without it.
    std::optional<state::network_address> rating_;
    coordination::routing::engine_settings engine_;
    /// Time between the stop signal and the first refusal, in which the load balancer sees /ready fail.
    state::duration leave_delay_{std::chrono::seconds{5}};
    /// How long requests in flight may then take to end.
    state::duration drain_timeout_{std::chrono::seconds{120}};
    protocol::settings::log_settings log_;
};

/// Reads and checks a settings file. Throws error of kind invalid_settings.
auto read_router_settings(const std::string& path) -> router_settings;

} // namespace buckthorndale::services::router
