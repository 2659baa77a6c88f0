#pragma once

#include "router/actions.hpp"
#include "state/invariant.hpp"
#include "transport/logging/log_text.hpp"
#include "transport/logging/logger.hpp"
#include "transport/ring/bounded_ring.hpp"

#include "coordination/routing/router_port.hpp"

#include <vector>

namespace buckthorndale::services::router {

/// Passes the request engine's actions to the workers that perform them.
class decision_port {
public:
    using network_ring = transport::ring::bounded_ring<network_action>;
    using control_ring = transport::ring::bounded_ring<control_action>;

    /// Sets the rings. Must be called before the first action.
    auto connect(network_ring& network, control_ring& control) -> void
    {
        network_ = &network;
        control_ = &control;
    }

    auto dispatch(const coordination::routing::attempt_command& order) -> void { to_network(order); }

    auto cancel(state::attempt_handle attempt) -> void { to_network(cancel_attempt{attempt}); }

    auto claim(state::request_handle request, const state::claim_key& key, state::content_fingerprint content)
        -> void
    {
        to_control(claim_call{request, key, content});
    }

    auto abandon_claim(const state::claim_key& key, std::uint64_t nonce) -> void
    {
        to_control(protocol::rpc::claim_ended_request{
            .key_ = key, .nonce_ = nonce, .end_ = protocol::rpc::claim_end::abandoned});
    }

    auto lose_claim(const state::claim_key& key, std::uint64_t nonce) -> void
    {
        to_control(protocol::rpc::claim_ended_request{
            .key_ = key, .nonce_ = nonce, .end_ = protocol::rpc::claim_end::lost});
    }

    auto finish_claim(const state::claim_key& key, std::uint64_t nonce, state::request_handle request,
                      state::attempt_handle attempt) -> void
    {
        to_network(store_outcome{key, nonce, request, attempt});
    }

    auto rate(state::request_handle request, state::attempt_handle attempt) -> void
    {
        to_network(rate_answer{request, attempt});
    }

    auto record_bill(state::request_handle request, const state::bill_record& bill) -> void
    {
        to_control(replicate_bill{request, bill});
    }

    auto release(state::request_handle request, state::attempt_handle attempt) -> void
    {
        to_network(release_answer{request, attempt});
    }

    auto finish(state::request_handle request, const coordination::routing::answer_summary& summary) -> void
    {
        to_network(finish_answer{request, summary});
    }

    auto replay(state::request_handle request) -> void { to_network(replay_outcome{request}); }

    auto refuse(state::request_handle request, const coordination::routing::refusal& refusal) -> void
    {
        to_network(refuse_request{request, refusal});
    }

    auto refresh_configuration() -> void { to_control(refresh_requested{}); }

    auto announce_suspects(const state::endpoint_id& endpoint,
                           const std::vector<state::content_fingerprint>& contents) -> void
    {
        to_control(announce_crash{endpoint, contents});
    }

    auto announce_cleared(state::content_fingerprint content) -> void { to_control(announce_clear{content}); }

    auto log(const coordination::routing::routing_decision& decision) -> void
    {
        log_.info(decision.action_ + " request=" + transport::logging::field_text(decision.request_.text()) +
                  " workspace=" + transport::logging::field_text(decision.workspace_.text()) + " choice=\"" +
                  transport::logging::quoted_text(decision.choice_) +
                  "\" candidates=" + std::to_string(decision.candidates_) + " reason=\"" +
                  transport::logging::quoted_text(decision.reason_) + "\"");
    }

    auto to_control(control_action action) -> void
    {
        verify(control_->try_push(std::move(action)), state::guarantee::internal_consistency,
               "the ring to the control worker must have room for the actions of all requests in flight");
    }

private:
    auto to_network(network_action action) -> void
    {
        verify(network_->try_push(std::move(action)), state::guarantee::internal_consistency,
               "the ring to the network worker must have room for the actions of all requests in flight");
    }

    network_ring* network_{nullptr};
    control_ring* control_{nullptr};
    transport::logging::logger log_{"routing"};
};

static_assert(coordination::routing::router_port<decision_port>);

} // namespace buckthorndale::services::router
