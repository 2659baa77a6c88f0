#pragma once

#include "protocol/settings/log_settings.hpp"
#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The program that routes callers' requests on the users' platform.
namespace buckthorndale::services::front {

struct front_settings {
    state::instance_id instance_;
    state::data_centre_id data_centre_;
    /// Address for callers' requests.
    state::network_address caller_address_;
    /// Address for readiness probes and metrics.
    state::network_address probe_address_;
    /// Address at which other instances read the platform's objects when they do not read the store.
    state::network_address control_address_;
    /// UDP port for messages between instances; the same on all.
    std::uint16_t peer_port_{0};
    /// Control addresses of some instances; they may be stale.
    std::vector<state::network_address> seeds_;
    state::network_address store_address_;
    /// The bandwidth of the instance's link, in Mbit/s; the instances with the fastest links watch the store
    /// and serve its objects to the others.
    std::int64_t link_mbps_{0};
    /// The process is killed when it has not exited this long after the stop signal.
    state::duration stop_timeout_{std::chrono::seconds{8}};
    state::duration session_lifetime_{std::chrono::seconds{5}};
    /// Time within which changes in the store must be in force: of the configuration, of the list of
    /// endpoints, and of roll-outs.
    state::duration configuration_delay_{std::chrono::seconds{2}};
    state::duration endpoints_delay_{std::chrono::seconds{2}};
    state::duration roll_outs_delay_{std::chrono::seconds{5}};
    /// The same for operators' orders to empty a data centre; unset if no such orders are given here.
    std::optional<state::duration> emptying_delay_;
    /// Whether workspaces share the endpoints fairly while requests wait.
    bool shares_by_workspace_{false};
    /// Whether the load that each endpoint takes well is learned from its answers.
    bool learns_capacity_{false};
    /// The memory of the machine for this process, in MiB.
    std::int64_t memory_mb_{default_memory_mb};
    protocol::settings::log_settings log_;

    static constexpr auto default_memory_mb = std::int64_t{88};
};

/// The bytes that callers may make the instance hold, and as much again the other instances.
auto caller_memory_bytes(const front_settings& settings) -> std::size_t;

/// Where the instance accepts requests that others pass on: the TCP port with the number of the UDP one.
auto relay_address(const front_settings& settings) -> state::network_address;

/// Reads and checks the settings file. Throws error of kind invalid_settings.
auto read_front_settings(const std::string& path) -> front_settings;

} // namespace buckthorndale::services::front
