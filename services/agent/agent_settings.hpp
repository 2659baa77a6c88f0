#pragma once

#include "protocol/settings/log_settings.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"
#include "transport/http/server_settings.hpp"

#include <string>
#include <vector>

/// The agent that every instance runs for control.
namespace buckthorndale::services::agent {

/// An operator who may use the administration API.
struct operator_account {
    std::string name_;
    /// SHA-256 of the operator's key, in lower-case hexadecimal.
    std::string key_hash_;
};

/// The settings of an agent process.
struct agent_settings {
    state::instance_id instance_;
    state::data_centre_id data_centre_;
    /// Where routers and other agents reach this agent.
    state::network_address control_;
    /// Where the router of this instance is reached by other routers.
    state::network_address router_;
    /// The administration API.
    transport::http::server_settings administration_;
    std::vector<operator_account> operators_;
    state::network_address platform_;
    /// Time that one call of the platform may take.
    state::duration platform_timeout_{std::chrono::seconds{2}};
    /// Agents to ask when the instance list cannot be had, such as after a start in an outage.
    std::vector<state::network_address> seeds_;
    protocol::settings::log_settings log_;
};

/// Reads and checks a settings file. Throws error of kind invalid_settings.
auto read_agent_settings(const std::string& path) -> agent_settings;

} // namespace buckthorndale::services::agent
