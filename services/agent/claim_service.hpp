#pragma once

#include "agent/agent_state.hpp"
#include "coordination/claims/claim_manager.hpp"
#include "coordination/claims/claim_port_reference.hpp"
#include "protocol/rpc/messages.hpp"
#include "transport/logging/logger.hpp"

#include <map>

namespace buckthorndale::services::agent {

/// Connects the claim manager to the platform, to other agents and to the router.
class claim_service {
public:
    explicit claim_service(agent_state& shared);

    /// Starts a claim for a router. The verdict is sent to the router in a separate call.
    auto request_claim(const protocol::rpc::claim_request& message) -> void;

    /// Records how a granted call ended, as reported by its router.
    auto end_claim(const protocol::rpc::claim_ended_request& message) -> void;

    /// Answers another agent that found a claim made by this one.
    auto state_of(const protocol::rpc::claim_state_request& message) const
        -> coordination::claims::claimant_reply;

    // The port of the claim manager.

    auto create_claim(coordination::claims::claim_ticket ticket, const state::claim_record& record) -> void;
    auto replace_claim(coordination::claims::claim_ticket ticket,
                       const coordination::claims::stored_claim& stored, const state::claim_record& record)
        -> void;
    auto read_claim(coordination::claims::claim_ticket ticket, const state::claim_record& record) -> void;
    auto ask_claimant(coordination::claims::claim_ticket ticket,
                      const coordination::claims::stored_claim& stored) -> void;
    auto settle(coordination::claims::claim_ticket ticket, const coordination::claims::claim_verdict& verdict)
        -> void;

private:
    using ticket_type = coordination::claims::claim_ticket;

    /// The router that waits for the verdict of a claim, and its ticket there.
    struct pending_claim {
        state::network_address address_;
        state::incarnation incarnation_;
        std::uint64_t ticket_{0};
    };

    using port_type = coordination::claims::claim_port_reference<claim_service>;
    using manager_type = coordination::claims::claim_manager<port_type, transport::process::system_random>;

    auto create(ticket_type ticket, state::claim_record record) -> transport::http::awaitable<void>;
    auto replace(ticket_type ticket, coordination::claims::stored_claim stored, state::claim_record record)
        -> transport::http::awaitable<void>;
    auto read(ticket_type ticket, state::claim_record record) -> transport::http::awaitable<void>;
    auto query_claimant(ticket_type ticket, coordination::claims::stored_claim stored)
        -> transport::http::awaitable<void>;
    auto send_verdict(pending_claim router, coordination::claims::claim_verdict verdict)
        -> transport::http::awaitable<void>;
    auto find_router(state::incarnation incarnation) const -> std::optional<state::network_address>;
    auto spawn(transport::http::awaitable<void> work) -> void;

    agent_state& shared_;
    port_type port_;
    manager_type manager_;
    std::map<ticket_type, pending_claim> pending_claims_;
    ticket_type last_ticket_;
    transport::logging::logger log_{"claims"};
};

} // namespace buckthorndale::services::agent
