#pragma once

#include "agent/agent_settings.hpp"
#include "coordination/billing/bill_table.hpp"
#include "coordination/configuration/replica.hpp"
#include "coordination/roll_out/version_guard.hpp"
#include "coordination/time/gap_detector.hpp"
#include "state/instance_list.hpp"
#include "transport/http/client.hpp"
#include "transport/platform/object_store.hpp"
#include "transport/process/clock.hpp"
#include "transport/process/random.hpp"
#include "transport/rpc/caller.hpp"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <optional>

namespace buckthorndale::services::agent {

/// A router that sends hello requests to this agent.
struct known_router {
    state::network_address address_;
    state::incarnation incarnation_;
    state::time_point last_hello_;
};

/// State shared by the components of an agent. Used on the control worker only.
struct agent_state {
    agent_state(transport::http::asio::io_context& context, const agent_settings& settings,
                state::incarnation incarnation)
        : context_{context}, settings_{settings}, incarnation_{incarnation}, client_{context}, rpc_{client_},
          platform_{client_, settings.platform_, settings.platform_timeout_},
          bill_table_{settings.instance_, incarnation}
    {}

    /// The agents of all other instances; the seeds while that gives none.
    auto peers_in_all_data_centres() const -> std::vector<state::network_address>;

    /// The agents of the other instances in this data centre; the seeds while that gives none.
    auto peers_in_data_centre() const -> std::vector<state::network_address>;

    transport::http::asio::io_context& context_;
    agent_settings settings_;
    state::incarnation incarnation_;
    transport::process::system_clock clock_;
    transport::process::system_random random_;
    transport::http::client client_;
    transport::rpc::caller rpc_;
    transport::platform::object_store platform_;
    coordination::configuration::replica replica_;
    state::instance_list instance_list_;
    coordination::billing::bill_table bill_table_;
    coordination::roll_out::version_guard version_guard_;
    std::map<state::network_address, known_router> routers_;
    bool is_shutting_down_{false};
};

} // namespace buckthorndale::services::agent
