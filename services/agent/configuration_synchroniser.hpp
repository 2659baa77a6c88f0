#pragma once

#include "agent/agent_state.hpp"
#include "coordination/configuration/freshness.hpp"
#include "protocol/rpc/messages.hpp"
#include "transport/logging/logger.hpp"

#include <cstdint>

namespace buckthorndale::services::agent {

/// Keeps the configuration and the instance list up to date: from the platform, which a few members of
/// each data centre watch, and by gossip with peers.
class configuration_synchroniser {
public:
    explicit configuration_synchroniser(agent_state& shared) : shared_{shared} {}

    /// Starts the loops that watch the platform and gossip.
    auto start() -> void;

    /// Fetches the changes that this agent lacks from the platform. Returns whether the platform responded.
    auto catch_up() -> transport::http::awaitable<bool>;

    /// Applies the updates from a peer and wakes the routers here if anything is new.
    auto apply_updates(const protocol::rpc::updates& updates) -> void;

    /// Sends the latest change to the peers in this data centre and wakes the routers here.
    auto broadcast_change() -> void;

    auto own_knowledge() const -> protocol::rpc::state_digest;

    /// The updates that a node with this knowledge lacks.
    auto updates_for(const protocol::rpc::state_digest& known) const -> protocol::rpc::updates;

    auto answer_gossip(const protocol::rpc::gossip_request& request) -> protocol::rpc::gossip_response;

    /// Whether this agent may confirm that its configuration is fresh.
    auto is_confirmed() -> bool;

private:
    auto watch_changes() -> transport::http::awaitable<void>;
    auto watch_instances() -> transport::http::awaitable<void>;
    auto gossip() -> transport::http::awaitable<void>;
    auto gossip_with(state::network_address peer) -> transport::http::awaitable<void>;
    auto send_updates(state::network_address peer, protocol::rpc::updates updates)
        -> transport::http::awaitable<void>;
    auto wake_router(state::network_address router) -> transport::http::awaitable<void>;
    auto broadcast_instance_list() -> void;
    auto broadcast(const protocol::rpc::updates& updates) -> void;
    auto wake_routers() -> void;
    auto read_snapshot() -> transport::http::awaitable<bool>;
    auto apply_change_text(const std::string& text) -> void;
    auto log_unreadable(const std::vector<protocol::json::unreadable_part>& entries) const -> void;
    auto apply_instance_list(state::instance_list list) -> void;
    auto write_snapshot_if_due() -> transport::http::awaitable<void>;
    auto republish_from(state::generation first) -> transport::http::awaitable<void>;
    auto mark_synchronised(state::time_point asked_at) -> void;
    auto is_watcher() const -> bool;
    auto sleep(state::duration time) -> transport::http::awaitable<void>;

    agent_state& shared_;
    coordination::configuration::freshness freshness_;
    std::uint64_t watched_version_{0};
    bool is_platform_reachable_{false};
    transport::logging::logger log_{"configuration"};
};

} // namespace buckthorndale::services::agent
