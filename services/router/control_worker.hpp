#pragma once

#include "coordination/billing/bill_replicator.hpp"
#include "coordination/configuration/replica.hpp"
#include "router/actions.hpp"
#include "router/bill_port.hpp"
#include "router/events.hpp"
#include "router/router_settings.hpp"
#include "transport/http/client.hpp"
#include "transport/http/server.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/rpc/caller.hpp"
#include "transport/rpc/method_table.hpp"
#include "transport/worker/worker.hpp"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace buckthorndale::services::router {

/// Communicates with the agents and the other routers, on a thread of its own.
class control_worker {
public:
    using decision_ring = transport::ring::bounded_ring<control_event>;
    using network_ring = transport::ring::bounded_ring<network_notice>;

    control_worker(const router_settings& settings, state::incarnation incarnation);

    /// Whether an attempt with the content is running at this router.
    using content_predicate = std::function<bool(state::content_fingerprint)>;

    /// Connects the rings. Must be called before start().
    auto connect(decision_ring& decision, network_ring& network, content_predicate is_running) -> void;

    auto start() -> void;
    auto stop() -> void;

    /// Makes the decision worker refuse new requests. Thread-safe.
    auto begin_shutdown() -> void;

    /// Bill records that are not yet held by enough instances. Thread-safe.
    auto pending_bills() const -> std::size_t { return pending_bills_.load(); }

    auto from_decision() -> transport::ring::bounded_ring<control_action>& { return from_decision_; }

    auto from_network() -> transport::ring::bounded_ring<control_action>& { return from_network_; }

private:
    template <typename Result>
    using awaitable = transport::http::awaitable<Result>;

    /// State of an announcement to the other routers.
    struct announcement {
        state::content_fingerprint content_;
        std::size_t pending_answers_{0};
        bool is_running_elsewhere_{false};
    };

    auto register_methods() -> void;
    auto serve(transport::http::exchange& exchange) -> awaitable<void>;
    auto process(control_action& action) -> void;
    auto run_hello_loop() -> awaitable<void>;
    auto send_hello() -> awaitable<bool>;
    auto process_hello_response(const protocol::rpc::hello_response& response, state::time_point asked_at)
        -> void;
    auto apply_updates(const protocol::rpc::updates& updates) -> void;
    auto apply_instance_list(const state::instance_list& list) -> void;
    auto send_copy(const state::instance_id& holder, const state::bill_record& record) -> void;
    auto copies_complete(const state::bill_record& record, bool is_degraded) -> void;
    auto run_replication_loop() -> awaitable<void>;
    auto claim(claim_call call) -> awaitable<void>;
    auto end_claim(protocol::rpc::claim_ended_request message) -> awaitable<void>;
    auto deliver_copy(state::instance_id holder, state::network_address agent, state::bill_record record)
        -> awaitable<void>;
    auto announce(announce_crash crash) -> awaitable<void>;
    auto announce_to(state::network_address router, Json::Value message,
                     std::shared_ptr<announcement> progress) -> awaitable<void>;
    auto announce_cleared(state::content_fingerprint content) -> void;
    auto record_response(announcement& progress, bool is_running) -> void;
    auto claim_settled(const Json::Value& parameters) -> void;
    auto notify_decision(control_event event) -> void;
    auto notify_network(network_notice notice) -> void;

    router_settings settings_;
    state::incarnation incarnation_;
    transport::worker::worker worker_{"control"};
    transport::http::client client_;
    transport::rpc::caller rpc_;
    transport::rpc::method_table methods_;
    transport::http::server server_;
    transport::http::asio::steady_timer wake_timer_;
    transport::ring::bounded_ring<control_action> from_decision_;
    transport::ring::bounded_ring<control_action> from_network_;
    decision_ring* decision_{nullptr};
    network_ring* network_{nullptr};
    content_predicate is_running_;
    coordination::configuration::replica replica_;
    bill_port bill_port_;
    coordination::billing::bill_replicator<bill_port> replicator_;
    std::map<coordination::billing::record_id, state::request_handle> billed_requests_;
    state::instance_list list_;
    coordination::roll_out::evidence_report evidence_;
    std::atomic<std::size_t> pending_bills_{0};
    bool is_configuration_confirmed_{false};
    transport::process::system_clock clock_;
    transport::logging::logger log_{"control"};
};

} // namespace buckthorndale::services::router
