#pragma once

#include "coordination/answer/answer_relay.hpp"
#include "coordination/billing/record_id.hpp"
#include "coordination/routing/attempt_result.hpp"
#include "coordination/routing/router_port.hpp"
#include "world/caller_events.hpp"
#include "world/environment.hpp"

#include <map>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

class node_router;
class world_node;

/// What surrounds a router's request engine: its connections to callers, endpoints and agents.
/// It is the port of the engine and of the bill replicator.
class node_network {
public:
    node_network(environment& shared, world_node& node, node_router& router)
        : shared_{shared}, node_{node}, router_{router}
    {}

    /// Opens a request, whose handle the engine gets.
    auto open(const submission& request) -> state::request_handle;

    /// The submissions that have no final answer yet.
    auto open_submissions() const -> std::vector<submission_id>;

    // The request engine's port.

    auto dispatch(const coordination::routing::attempt_command& order) -> void;
    auto cancel(state::attempt_handle number) -> void;
    auto claim(state::request_handle request, const state::claim_key& key, state::content_fingerprint content)
        -> void;
    auto abandon_claim(const state::claim_key& key, std::uint64_t nonce) -> void;
    auto lose_claim(const state::claim_key& key, std::uint64_t nonce) -> void;
    auto finish_claim(const state::claim_key& key, std::uint64_t nonce, state::request_handle request,
                      state::attempt_handle number) -> void;
    auto rate(state::request_handle request, state::attempt_handle number) -> void;
    auto record_bill(state::request_handle request, const state::bill_record& bill) -> void;
    auto release(state::request_handle request, state::attempt_handle number) -> void;
    auto finish(state::request_handle request, const coordination::routing::answer_summary& summary) -> void;
    auto replay(state::request_handle request) -> void;
    auto refuse(state::request_handle request, const coordination::routing::refusal& why) -> void;
    auto refresh_configuration() -> void;
    auto announce_suspects(const state::endpoint_id& endpoint,
                           const std::vector<state::content_fingerprint>& contents) -> void;
    auto announce_cleared(state::content_fingerprint content) -> void;
    auto log(const coordination::routing::routing_decision& decision) -> void;

    // The bill replicator's port.

    auto send_copy(const state::instance_id& holder, const state::bill_record& record) -> void;
    auto copies_complete(const state::bill_record& record, bool is_degraded) -> void;

private:
    struct network_attempt {
        coordination::routing::attempt_command order_;
        std::uint64_t endpoint_call_{0};
        bool is_open_{true};
        bool is_released_{false};
        std::uint64_t held_{0};
        state::time_point last_event_;
        std::string outcome_;
    };

    struct network_request {
        submission submission_;
        coordination::answer::answer_relay relay_;
        std::map<state::attempt_handle, network_attempt> attempts_;
        std::string stored_outcome_;
    };

    auto send(coordination::routing::attempt_command order) -> void;
    auto take_piece(state::request_handle request, state::attempt_handle number, std::uint64_t offset)
        -> void;
    auto take_end(state::request_handle request, state::attempt_handle number, std::uint64_t pieces) -> void;
    auto end_attempt(state::request_handle request, state::attempt_handle number,
                     coordination::routing::attempt_result_kind kind, bool is_leaving = false) -> void;
    auto watch_silence(state::request_handle request, state::attempt_handle number) -> void;
    auto find_open(state::request_handle request, state::attempt_handle number) -> network_attempt*;

    environment& shared_;
    world_node& node_;
    node_router& router_;
    std::map<state::request_handle, network_request> requests_;
    std::map<coordination::billing::record_id, state::request_handle> bills_;
    state::request_handle last_handle_;
};

} // namespace buckthorndale::tests::world
