#pragma once

#include "protocol/settings/log_settings.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/server_settings.hpp"

#include <string>
#include <vector>

/// The agent: one process per instance that shares configuration, claims and bills with the other instances.
namespace buckthorndale::services::agent {

/// An operator who may use the administration API.
struct operator_account {
    std::string name_;
    /// SHA-256 of the operator's key in lower-case hexadecimal.
    std::string key_hash_;
};

/// The settings of an agent process.
struct agent_settings {
    state::instance_id instance_;
    state::data_centre_id data_centre_;
    /// Address at which routers and other agents reach this agent.
    state::network_address control_;
    /// Address at which other routers reach the router of this instance.
    state::network_address router_;
    /// HTTP server of the administration API.
    transport::http::server_settings administration_;
    std::vector<operator_account> operators_;
    state::network_address platform_;
    /// Timeout of one call of the platform.
    state::duration platform_timeout_{std::chrono::seconds{2}};
    /// Agents to contact while no instance list is available, such as after a start during a platform outage.
    std::vector<state::network_address> seeds_;
    protocol::settings::log_settings log_;
};

/// Reads and validates a settings file. Throws state::error of kind invalid_settings.
auto read_agent_settings(const std::string& path) -> agent_settings;

} // namespace buckthorndale::services::agent
