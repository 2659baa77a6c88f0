#pragma once

#include "coordination/billing/bill_table.hpp"
#include "coordination/billing/written_ranges.hpp"
#include "coordination/claims/claim_manager.hpp"
#include "coordination/claims/claim_port_reference.hpp"
#include "coordination/configuration/freshness.hpp"
#include "coordination/configuration/replica.hpp"
#include "world/simulation_context.hpp"

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace buckthorndale::tests::world {

class simulated_instance;

/// An agent's decision code with simulated I/O.
class simulated_agent {
public:
    using claim_callback = std::function<void(const coordination::claims::claim_verdict&)>;

    simulated_agent(simulation_context& context, simulated_instance& instance,
                    state::incarnation incarnation);

    /// Reads the configuration changes that this agent lacks from the platform.
    auto catch_up() -> void;

    /// Exchanges missing configuration changes with another agent.
    auto gossip_with(simulated_agent& peer) -> void;

    auto hold(const state::bill_record& record, bool is_primary) -> bool;

    auto release(const coordination::billing::written_ranges& written) -> void
    {
        held_bills_.release(written);
    }

    /// Writes the next segment of held bills to the platform; called periodically.
    auto write_bills() -> void;

    auto claim(const state::claim_key& key, state::content_fingerprint content, claim_callback done) -> void;

    auto keeper_finish(const state::claim_key& key, std::uint64_t nonce,
                       const coordination::claims::call_outcome& outcome) -> void
    {
        keeper_.finish(key, nonce, outcome);
    }

    auto keeper_abandon(const state::claim_key& key, std::uint64_t nonce) -> void
    {
        keeper_.abandon(key, nonce);
    }

    auto keeper_lose(const state::claim_key& key, std::uint64_t nonce) -> void
    {
        keeper_.mark_lost(key, nonce);
    }

    /// Whether the configuration was recently confirmed to be the newest.
    auto is_confirmed() -> bool;

    auto observe_clock() -> void { freshness_.observe(context_.clock_.now()); }

    auto replica() -> coordination::configuration::replica& { return replica_; }

    auto held_bills() -> coordination::billing::bill_table& { return held_bills_; }

    auto incarnation() const -> state::incarnation { return incarnation_; }

    auto begin_shutdown() -> void { is_shutting_down_ = true; }

    // Port of the claim keeper.

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
    using port_type = coordination::claims::claim_port_reference<simulated_agent>;

    simulation_context& context_;
    simulated_instance& instance_;
    state::incarnation incarnation_;
    port_type port_;
    coordination::configuration::replica replica_;
    coordination::configuration::freshness freshness_;
    coordination::billing::bill_table held_bills_;
    coordination::claims::claim_manager<port_type, coordination::time::seeded_random> keeper_;
    std::map<coordination::claims::claim_ticket, claim_callback> waiting_;
    coordination::claims::claim_ticket last_ticket_;
    bool is_writing_{false};
    bool is_shutting_down_{false};
};

} // namespace buckthorndale::tests::world
