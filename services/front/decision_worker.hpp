#pragma once

#include "coordination/forwarding/forward_engine.hpp"
#include "front/decision_port.hpp"
#include "front/events.hpp"
#include "front/front_settings.hpp"
#include "transport/process/clock.hpp"
#include "transport/process/random.hpp"
#include "transport/ring/bounded_ring.hpp"
#include "transport/worker/ticker.hpp"
#include "transport/worker/worker.hpp"
#include "transport/worker/worker_gauge.hpp"

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace buckthorndale::services::front {

/// Runs the forward engine on its own thread, with events from the network and control workers.
class decision_worker {
public:
    explicit decision_worker(const front_settings& settings);

    /// Sets the rings for actions; must be called before start().
    auto connect(decision_port::network_ring& network, decision_port::control_ring& control) -> void;

    auto start() -> void;
    auto stop() -> void;

    auto from_network() -> transport::ring::bounded_ring<network_event>& { return from_network_; }

    auto from_control() -> transport::ring::bounded_ring<control_event>& { return from_control_; }

    /// Whether requests can be served; any thread.
    auto is_ready() const -> bool { return gauge_.is_ready(); }

    /// The number of unfinished requests; any thread.
    auto requests_inside() const -> std::size_t { return gauge_.requests_inside(); }

    /// The endpoints that are not like the others; any thread.
    auto endpoint_counts() const -> forwarding::endpoint_counts
    {
        return {.limited_ = limited_endpoints_.load(),
                .cold_ = cold_endpoints_.load(),
                .emptied_data_centres_ = emptied_data_centres_.load(),
                .running_at_emptied_ = running_at_emptied_.load(),
                .slow_ = slow_endpoints_.load(),
                .fast_ = fast_endpoints_.load()};
    }

private:
    using engine_type = forwarding::forward_engine<transport::process::system_clock,
                                                   transport::process::system_random, decision_port>;

    auto handle(network_event& event) -> void;
    auto handle(control_event& event) -> void;
    auto handle_peer_message(const protocol::peer::peer_message& message) -> void;
    auto tick() -> void;
    auto report_roll_outs() -> void;
    /// Tells a few other instances what those that have started or missed a datagram do not know.
    auto repeat_news() -> void;
    auto report_work() -> void;
    auto report_paces() -> void;
    auto publish_endpoint_counts() -> void;
    auto update_gauge() -> void;

    state::instance_id instance_;
    transport::process::system_clock clock_;
    transport::process::system_random random_;
    state::incarnation incarnation_;
    decision_port port_;
    engine_type engine_;
    transport::worker::worker worker_{"decision"};
    transport::worker::ticker ticker_;
    transport::ring::bounded_ring<network_event> from_network_;
    transport::ring::bounded_ring<control_event> from_control_;
    transport::worker::worker_gauge gauge_;
    std::atomic<std::size_t> limited_endpoints_{0};
    std::atomic<std::size_t> cold_endpoints_{0};
    std::atomic<std::size_t> emptied_data_centres_{0};
    std::atomic<std::size_t> running_at_emptied_{0};
    std::atomic<std::size_t> slow_endpoints_{0};
    std::atomic<std::size_t> fast_endpoints_{0};
    state::time_point next_report_{};
    state::time_point next_work_report_{};
    /// Whether the last work report had entries; after that one empty report is sent.
    bool has_reported_work_{false};
};

} // namespace buckthorndale::services::front
