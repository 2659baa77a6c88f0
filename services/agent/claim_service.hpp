#pragma once

#include "agent/agent_state.hpp"
#include "coordination/claims/claim_keeper.hpp"
#include "coordination/claims/claim_port_reference.hpp"
#include "protocol/rpc/messages.hpp"
#include "transport/logging/logger.hpp"

#include <map>

namespace buckthorndale::services::agent {

/// Carries the claim keeper's wishes to the platform, to other agents and to the router.
class claim_service {
public:
    explicit claim_service(agent_state& shared);

    /// Takes a router's request for a claim; the verdict goes to the router by a call of its own.
    auto request(const protocol::rpc::claim_request& message) -> void;

    /// Takes a router's word on how a granted call ended.
    auto end(const protocol::rpc::claim_ended_request& message) -> void;

    /// Answers another agent that found a claim of this one.
    auto state_of(const protocol::rpc::claim_state_request& message) const
        -> coordination::claims::claimant_statement;

    // The claim keeper's port.

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

    /// Who waits for a verdict.
    struct waiting_router {
        state::network_address address_;
        state::incarnation incarnation_;
        std::uint64_t ticket_{0};
    };

    using port_type = coordination::claims::claim_port_reference<claim_service>;
    using keeper_type = coordination::claims::claim_keeper<port_type, transport::process::system_random>;

    auto create(ticket_type ticket, state::claim_record record) -> transport::http::awaitable<void>;
    auto replace(ticket_type ticket, coordination::claims::stored_claim stored, state::claim_record record)
        -> transport::http::awaitable<void>;
    auto read(ticket_type ticket, state::claim_record record) -> transport::http::awaitable<void>;
    auto ask(ticket_type ticket, coordination::claims::stored_claim stored)
        -> transport::http::awaitable<void>;
    auto tell(waiting_router router, coordination::claims::claim_verdict verdict)
        -> transport::http::awaitable<void>;
    auto find_router(state::incarnation life) const -> std::optional<state::network_address>;
    auto spawn(transport::http::awaitable<void> work) -> void;

    agent_state& shared_;
    port_type port_;
    keeper_type keeper_;
    std::map<ticket_type, waiting_router> waiting_;
    ticket_type last_ticket_;
    transport::logging::logger log_{"claims"};
};

} // namespace buckthorndale::services::agent
