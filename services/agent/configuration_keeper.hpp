#pragma once

#include "agent/agent_state.hpp"
#include "coordination/configuration/freshness.hpp"
#include "protocol/rpc/messages.hpp"
#include "transport/logging/logger.hpp"

#include <cstdint>

namespace buckthorndale::services::agent {

/// Keeps the configuration and the instance list up to date: from the platform, which a few members of
/// each data centre watch, and from peers by gossip.
class configuration_keeper {
public:
    explicit configuration_keeper(agent_state& shared) : shared_{shared} {}

    /// Starts watching the platform and gossiping.
    auto start() -> void;

    /// Reads the changes that the platform has and this node lacks. Returns whether the platform answered.
    auto catch_up() -> transport::http::awaitable<bool>;

    /// Takes over what a peer sent, and tells the routers here.
    auto learn(const protocol::rpc::updates& updates) -> void;

    /// Tells routers here and peers in the data centre of the newest change.
    auto spread_change() -> void;

    auto own_knowledge() const -> protocol::rpc::state_digest;

    /// What a node with that knowledge lacks.
    auto news_for(const protocol::rpc::state_digest& known) const -> protocol::rpc::updates;

    auto answer_gossip(const protocol::rpc::gossip_request& request) -> protocol::rpc::gossip_response;

    /// Whether this agent vouches for its configuration.
    auto is_confirmed() -> bool;

private:
    auto watch_changes() -> transport::http::awaitable<void>;
    auto watch_instances() -> transport::http::awaitable<void>;
    auto gossip() -> transport::http::awaitable<void>;
    auto gossip_with(state::network_address peer) -> transport::http::awaitable<void>;
    auto send_news(state::network_address peer, protocol::rpc::updates updates)
        -> transport::http::awaitable<void>;
    auto poke(state::network_address router) -> transport::http::awaitable<void>;
    auto spread_list() -> void;
    auto spread(const protocol::rpc::updates& updates) -> void;
    auto poke_routers() -> void;
    auto read_snapshot() -> transport::http::awaitable<bool>;
    auto take_change(const std::string& text) -> void;
    auto take_list(state::instance_list list) -> void;
    auto write_snapshot_if_due() -> transport::http::awaitable<void>;
    auto republish_from(state::generation first) -> transport::http::awaitable<void>;
    auto mark_heard(state::time_point asked_at) -> void;
    auto is_watcher() const -> bool;
    auto sleep(state::duration time) -> transport::http::awaitable<void>;

    agent_state& shared_;
    coordination::configuration::freshness freshness_;
    std::uint64_t watched_version_{0};
    bool is_platform_reachable_{false};
    transport::logging::logger log_{"configuration"};
};

} // namespace buckthorndale::services::agent
