#pragma once

#include "router/actions.hpp"
#include "router/attempt_runner.hpp"
#include "router/caller_request.hpp"
#include "router/events.hpp"
#include "router/metrics.hpp"
#include "router/router_settings.hpp"
#include "transport/http/client.hpp"
#include "transport/http/server.hpp"
#include "transport/logging/logger.hpp"
#include "transport/process/clock.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/worker/worker.hpp"

#include <atomic>
#include <functional>
#include <map>
#include <memory>

namespace buckthorndale::services::router {

/// Serves callers and runs attempts at endpoints, on a thread of its own.
class network_worker {
public:
    using event_ring = transport::ring::bounded_ring<network_event>;
    using control_ring = transport::ring::bounded_ring<control_action>;

    /// State of other workers that health checks report.
    struct health_checks {
        std::function<bool()> is_ready_;
    };

    network_worker(const router_settings& settings, health_checks checks);

    /// Connects the rings. Must be called before start().
    auto connect(event_ring& decision, control_ring& control) -> void;

    auto start() -> void;
    auto stop() -> void;

    /// Makes /ready fail, so that the load balancer stops sending requests to the instance. Thread-safe.
    auto announce_leaving() -> void { is_leaving_.store(true); }

    /// Stops accepting connections. Thread-safe.
    auto stop_accepting() -> void;

    auto from_decision() -> transport::ring::bounded_ring<network_action>& { return from_decision_; }

    auto from_control() -> transport::ring::bounded_ring<network_notice>& { return from_control_; }

    auto context() -> transport::http::asio::io_context& { return worker_.context(); }

private:
    auto serve(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto serve_request(transport::http::exchange& exchange) -> transport::http::awaitable<void>;
    auto answer_probe(transport::http::exchange& exchange, const std::string& path)
        -> transport::http::awaitable<void>;
    auto admit(transport::http::exchange& exchange) -> std::shared_ptr<caller_request>;
    auto process(network_action& action) -> void;
    auto process(network_notice& notice) -> void;
    auto begin_attempt(const coordination::routing::attempt_command& order) -> void;
    auto run_attempt(std::shared_ptr<caller_request> request, std::shared_ptr<network_attempt> attempt)
        -> transport::http::awaitable<void>;
    auto cancel(state::attempt_handle attempt) -> void;
    auto rate(rate_answer action, std::shared_ptr<caller_request> request)
        -> transport::http::awaitable<void>;
    auto release(const release_answer& action) -> void;
    auto finish(const finish_answer& action) -> void;
    auto replay(state::request_handle handle) -> void;
    auto refuse(const refuse_request& action) -> void;
    auto store(const store_outcome& action) -> void;
    auto find(state::request_handle request) -> std::shared_ptr<caller_request>;
    auto notify_decision(network_event event) -> void;

    router_settings settings_;
    health_checks health_checks_;
    transport::worker::worker worker_{"network"};
    transport::http::client client_;
    metrics metrics_;
    attempt_runner runner_;
    transport::http::server server_;
    transport::ring::bounded_ring<network_action> from_decision_;
    transport::ring::bounded_ring<network_notice> from_control_;
    event_ring* decision_{nullptr};
    control_ring* control_{nullptr};
    std::shared_ptr<const state::configuration> configuration_{std::make_shared<state::configuration>()};
    state::request_handle last_handle_;
    std::map<state::request_handle, std::shared_ptr<caller_request>> requests_;
    std::map<state::attempt_handle, state::request_handle> attempt_owners_;
    std::atomic<bool> is_leaving_{false};
    transport::process::system_clock clock_;
};

} // namespace buckthorndale::services::router
