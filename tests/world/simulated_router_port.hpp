#pragma once

#include "coordination/answer/answer_relay.hpp"
#include "coordination/billing/record_id.hpp"
#include "coordination/routing/attempt_result.hpp"
#include "coordination/routing/router_port.hpp"
#include "world/caller_events.hpp"
#include "world/simulation_context.hpp"

#include <map>
#include <string>
#include <vector>

namespace buckthorndale::tests::world {

class simulated_router;
class simulated_instance;

/// The port of a router's request engine and bill replicator. Simulates the connections to callers, endpoints
/// and agents.
class simulated_router_port {
public:
    simulated_router_port(simulation_context& context, simulated_instance& instance, simulated_router& router)
        : context_{context}, instance_{instance}, router_{router}
    {}

    /// Opens a request and returns its handle for the engine.
    auto open(const submission& request) -> state::request_handle;

    /// Submissions without a final answer.
    auto open_submissions() const -> std::vector<submission_id>;

    // Port of the request engine.

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

    // Port of the bill replicator.

    auto send_copy(const state::instance_id& holder, const state::bill_record& record) -> void;
    auto copies_complete(const state::bill_record& record, bool is_degraded) -> void;

private:
    struct network_attempt {
        coordination::routing::attempt_command order_;
        std::uint64_t endpoint_call_{0};
        bool is_open_{true};
        bool is_released_{false};
        std::uint64_t held_chunks_{0};
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
    auto receive_chunk(state::request_handle request, state::attempt_handle number, std::uint64_t offset)
        -> void;
    auto receive_end(state::request_handle request, state::attempt_handle number, std::uint64_t chunks)
        -> void;
    auto end_attempt(state::request_handle request, state::attempt_handle number,
                     coordination::routing::attempt_result_kind kind, bool is_leaving = false) -> void;
    auto check_idle_timeout(state::request_handle request, state::attempt_handle number) -> void;
    auto find_open(state::request_handle request, state::attempt_handle number) -> network_attempt*;

    simulation_context& context_;
    simulated_instance& instance_;
    simulated_router& router_;
    std::map<state::request_handle, network_request> requests_;
    std::map<coordination::billing::record_id, state::request_handle> bills_;
    state::request_handle last_handle_;
};

} // namespace buckthorndale::tests::world
