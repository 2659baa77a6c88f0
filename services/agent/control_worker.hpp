#pragma once

#include "agent/administration_call.hpp"
#include "agent/administration_service.hpp"
#include "agent/agent_state.hpp"
#include "agent/claim_service.hpp"
#include "agent/configuration_editor.hpp"
#include "agent/configuration_synchroniser.hpp"
#include "agent/evidence_service.hpp"
#include "agent/ledger_writer.hpp"
#include "agent/roll_out_service.hpp"
#include "transport/http/server.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/rpc/method_table.hpp"
#include "transport/worker/worker.hpp"

#include <atomic>

namespace buckthorndale::services::agent {

/// Worker thread for the state that an instance shares with the others: configuration, claims, bills and
/// evidence on versions.
class control_worker {
public:
    using reply_ring = transport::ring::bounded_ring<administration_reply>;

    control_worker(const agent_settings& settings, state::incarnation incarnation);

    auto connect(reply_ring& administration) -> void { administration_ = &administration; }

    auto start() -> void;
    auto stop() -> void;

    /// Starts writing all bills to the platform without delay. Thread-safe.
    auto begin_shutdown() -> void;

    /// Number of bill records that would be lost if this agent stopped now. Thread-safe.
    auto bills_held() const -> std::size_t { return bills_held_.load(); }

    auto from_administration() -> transport::ring::bounded_ring<administration_call>&
    {
        return from_administration_;
    }

private:
    auto register_methods() -> void;
    auto register_claim_methods() -> void;
    auto serve(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto process_hello(const Json::Value& parameters) -> Json::Value;
    auto process(administration_call& call) -> void;
    auto answer(administration_call call) -> transport::http::awaitable<void>;
    auto run_maintenance() -> transport::http::awaitable<void>;

    transport::worker::worker worker_{"control"};
    agent_state shared_;
    configuration_synchroniser synchroniser_;
    configuration_editor editor_;
    claim_service claims_;
    ledger_writer ledger_;
    evidence_service evidence_;
    roll_out_service roll_outs_;
    administration_service service_;
    transport::rpc::method_table methods_;
    transport::http::server server_;
    transport::ring::bounded_ring<administration_call> from_administration_;
    reply_ring* administration_{nullptr};
    std::atomic<std::size_t> bills_held_{0};
};

} // namespace buckthorndale::services::agent
