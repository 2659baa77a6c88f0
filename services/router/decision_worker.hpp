#pragma once

#include "coordination/routing/request_engine.hpp"
#include "router/decision_port.hpp"
#include "router/events.hpp"
#include "router/router_settings.hpp"
#include "transport/process/clock.hpp"
#include "transport/process/random.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/worker/ticker.hpp"
#include "transport/worker/worker.hpp"
#include "transport/worker/worker_gauge.hpp"

#include <atomic>
#include <memory>
#include <set>

namespace buckthorndale::services::router {

/// Runs the request engine on a thread of its own, with events from the network and control workers.
class decision_worker {
public:
    decision_worker(const router_settings& settings, state::incarnation incarnation);

    /// Connects the rings for actions. Must be called before start().
    auto connect(decision_port::network_ring& network, decision_port::control_ring& control) -> void;

    auto start() -> void;
    auto stop() -> void;

    auto from_network() -> transport::ring::bounded_ring<network_event>& { return from_network_; }

    auto from_control() -> transport::ring::bounded_ring<control_event>& { return from_control_; }

    /// Whether requests can be served. Thread-safe.
    auto is_ready() const -> bool { return gauge_.is_ready(); }

    /// Thread-safe.
    auto requests_in_flight() const -> std::size_t { return gauge_.requests_inside(); }

    using content_set = std::set<state::content_fingerprint>;

    /// The contents of the running attempts. Thread-safe.
    auto running_contents() const -> std::shared_ptr<const content_set> { return running_contents_.load(); }

    auto context() -> boost::asio::io_context& { return worker_.context(); }

private:
    using engine_type =
        coordination::routing::request_engine<transport::process::system_clock,
                                              transport::process::system_random, decision_port>;

    auto process(network_event& event) -> void;
    auto process(control_event& event) -> void;
    auto receive_suspects(const suspects_received& message) -> void;
    auto tick() -> void;
    auto publish() -> void;
    auto report_evidence() -> void;

    transport::process::system_clock clock_;
    transport::process::system_random random_;
    decision_port port_;
    engine_type engine_;
    transport::worker::worker worker_{"decision"};
    transport::worker::ticker ticker_;
    transport::ring::bounded_ring<network_event> from_network_;
    transport::ring::bounded_ring<control_event> from_control_;
    transport::worker::worker_gauge gauge_;
    std::atomic<std::shared_ptr<const content_set>> running_contents_{std::make_shared<const content_set>()};
    std::uint64_t ticks_{0};
};

} // namespace buckthorndale::services::router
