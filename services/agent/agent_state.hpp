#pragma once

#include "agent/agent_settings.hpp"
#include "coordination/billing/bill_book.hpp"
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

/// A router that says hello to this agent.
struct known_router {
    state::network_address address_;
    state::incarnation incarnation_;
    state::time_point last_hello_;
};

/// What the parts of an agent share. Used on the coordination thread only.
struct agent_state {
    agent_state(transport::http::asio::io_context& context, const agent_settings& settings,
                state::incarnation life)
        : context_{context}, settings_{settings}, incarnation_{life}, client_{context}, rpc_{client_},
          platform_{client_, settings.platform_, settings.platform_limit_}, book_{settings.instance_, life}
    {}

    /// The members of all data centres without this instance; the seeds while no list is known.
    auto all_peers() const -> std::vector<state::network_address>;

    /// The members of the own data centre without this instance; the seeds while no list is known.
    auto peers() const -> std::vector<state::network_address>;

    transport::http::asio::io_context& context_;
    agent_settings settings_;
    state::incarnation incarnation_;
    transport::process::system_clock clock_;
    transport::process::system_random random_;
    transport::http::client client_;
    transport::rpc::caller rpc_;
    transport::platform::object_store platform_;
    coordination::configuration::replica replica_;
    state::instance_list list_;
    coordination::billing::bill_book book_;
    coordination::roll_out::version_guard evidence_;
    std::map<state::network_address, known_router> routers_;
    bool is_shutting_down_{false};
};

} // namespace buckthorndale::services::agent
