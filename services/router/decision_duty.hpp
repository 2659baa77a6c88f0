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

/// The duty that decides: it runs the request engine, fed by two rings.
class decision_duty {
public:
    decision_duty(const router_settings& settings, state::incarnation life);

    /// Connects the rings for actions; to be called before start().
    auto connect(decision_port::network_ring& network, decision_port::control_ring& control) -> void;

    auto start() -> void;
    auto stop() -> void;

    auto from_network() -> transport::ring::bounded_ring<network_event>& { return from_network_; }

    auto from_control() -> transport::ring::bounded_ring<control_event>& { return from_control_; }

    /// Whether requests can be served; any thread.
    auto is_ready() const -> bool { return gauge_.is_ready(); }

    /// Requests inside; any thread.
    auto requests_inside() const -> std::size_t { return gauge_.requests_inside(); }

    using content_set = std::set<state::content_fingerprint>;

    /// The contents of the attempts that run now; any thread.
    auto running_contents() const -> std::shared_ptr<const content_set> { return running_contents_.load(); }

    auto context() -> boost::asio::io_context& { return duty_.context(); }

private:
    using engine_type =
        coordination::routing::request_engine<transport::process::system_clock,
                                              transport::process::system_random, decision_port>;

    auto take(network_event& event) -> void;
    auto take(control_event& event) -> void;
    auto hear(const suspects_heard& word) -> void;
    auto tick() -> void;
    auto publish() -> void;
    auto report_evidence() -> void;

    transport::process::system_clock clock_;
    transport::process::system_random random_;
    decision_port port_;
    engine_type engine_;
    transport::worker::worker duty_{"decision"};
    transport::worker::ticker ticker_;
    transport::ring::bounded_ring<network_event> from_network_;
    transport::ring::bounded_ring<control_event> from_control_;
    transport::worker::worker_gauge gauge_;
    std::atomic<std::shared_ptr<const content_set>> running_contents_{std::make_shared<const content_set>()};
    std::uint64_t ticks_{0};
};

} // namespace buckthorndale::services::router
