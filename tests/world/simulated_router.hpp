#pragma once

#include "coordination/billing/bill_replicator.hpp"
#include "coordination/routing/request_engine.hpp"
#include "world/caller_events.hpp"
#include "world/simulated_router_port.hpp"
#include "world/simulation_context.hpp"

#include <cstdint>
#include <vector>

namespace buckthorndale::tests::world {

class simulated_instance;

/// A router's decision code with simulated I/O.
class simulated_router {
public:
    simulated_router(simulation_context& context, simulated_instance& instance,
                     state::incarnation incarnation, coordination::routing::engine_settings settings);

    auto submit(const submission& request) -> void;
    auto tick() -> void;

    /// Fetches the configuration, and whether it is confirmed as fresh, from the agent of this instance.
    auto poll_agent() -> void;

    auto engine() -> auto& { return engine_; }

    auto replicator() -> auto& { return replicator_; }

    auto is_drained() const -> bool { return engine_.size() == 0 && replicator_.pending() == 0; }

    auto open_submissions() const -> std::vector<submission_id> { return port_.open_submissions(); }

    auto incarnation() const -> state::incarnation { return incarnation_; }

private:
    simulation_context& context_;
    simulated_instance& instance_;
    state::incarnation incarnation_;
    simulated_router_port port_;
    coordination::routing::request_engine<virtual_clock, coordination::time::seeded_random,
                                          simulated_router_port>
        engine_;
    coordination::billing::bill_replicator<simulated_router_port> replicator_;
    std::uint64_t list_version_{0};
};

} // namespace buckthorndale::tests::world
