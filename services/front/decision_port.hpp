#pragma once

#include "front/events.hpp"
#include "state/invariant.hpp"
#include "transport/logging/log_text.hpp"
#include "transport/logging/logger.hpp"
#include "transport/ring/bounded_ring.hpp"

#include <string>
#include <utility>

namespace buckthorndale::services::front {

/// Passes the forward engine's actions to the workers that perform them.
class decision_port {
public:
    using network_ring = transport::ring::bounded_ring<network_action>;
    using control_ring = transport::ring::bounded_ring<control_action>;

    explicit decision_port(state::instance_id instance) : instance_{std::move(instance)} {}

    /// Sets the rings; must be called before the first action.
    auto connect(network_ring& network, control_ring& control) -> void
    {
        network_ = &network;
        control_ = &control;
    }

    auto dispatch(const forwarding::forward_command& command) -> void { post_to_network(command); }

    auto cancel(state::attempt_handle attempt) -> void { post_to_network(cancel_attempt{attempt}); }

    auto release(state::request_handle request, state::attempt_handle attempt) -> void
    {
        post_to_network(release_attempt{request, attempt});
    }

    auto finish(state::request_handle request, state::attempt_handle attempt) -> void
    {
        post_to_network(finish_request{request, attempt});
    }

    auto refuse(state::request_handle request, const coordination::routing::refusal& refusal) -> void
    {
        post_to_network(refuse_request{request, refusal});
    }

    auto announce_crash(const forwarding::crash_notice& crash) -> void
    {
        auto message = protocol::peer::peer_message{.from_ = instance_};
        message.crashes_.push_back(crash);
        post_to_control(broadcast_to_peers{std::move(message)});
    }

    auto announce_cleared_parts(const std::vector<forwarding::cleared_part>& cleared) -> void
    {
        auto message = protocol::peer::peer_message{.from_ = instance_};
        message.cleared_parts_ = cleared;
        post_to_control(broadcast_to_peers{std::move(message)});
    }

    auto announce_blocked_parts(const std::vector<coordination::suspicion::blocked_part>& blocked) -> void
    {
        auto message = protocol::peer::peer_message{.from_ = instance_};
        message.blocked_parts_ = blocked;
        post_to_control(broadcast_to_peers{std::move(message)});
    }

    auto announce_leaving(const forwarding::leaving_endpoint& leaving) -> void
    {
        auto message = protocol::peer::peer_message{.from_ = instance_};
        message.leaving_.push_back(leaving);
        post_to_control(broadcast_to_peers{std::move(message)});
    }

    auto announce_limits(const forwarding::limit_message& limits) -> void
    {
        post_to_control(broadcast_to_peers{{.from_ = instance_, .limits_ = limits}});
    }

    auto ask_for_permits(const forwarding::limit_message& limits) -> void
    {
        post_to_control(send_to_some_peers{{.from_ = instance_, .limits_ = limits}});
    }

    auto send_limits(const state::instance_id& to, const forwarding::limit_message& limits) -> void
    {
        post_to_control(send_to_instance{.to_ = to, .message_ = {.from_ = instance_, .limits_ = limits}});
    }

    auto probe(const state::endpoint_id& endpoint, const state::network_address& address,
               const std::string& path) -> void
    {
        post_to_network(probe_endpoint{.endpoint_ = endpoint, .address_ = address, .path_ = path});
    }

    auto identify(const state::endpoint_id& endpoint, const state::network_address& address,
                  const std::string& path) -> void
    {
        post_to_network(identify_endpoint{.endpoint_ = endpoint, .address_ = address, .path_ = path});
    }

    auto log(const forwarding::forward_log& entry) -> void
    {
        using transport::logging::field_text;
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(entry.since_arrival_);
        log_.info("request=" + field_text(entry.request_.text()) + " action=" + entry.action_ +
                  " route=" + field_text(entry.route_) + " endpoint=" + field_text(entry.endpoint_.text()) +
                  " model=" + field_text(entry.model_) + " attempt=" + std::to_string(entry.attempt_) +
                  " generation=" + std::to_string(entry.generation_.value()) +
                  " after_ms=" + std::to_string(elapsed.count()) + " reason=\"" +
                  transport::logging::quoted_text(entry.reason_) + "\"");
    }

    auto post_to_control(control_action action) -> void
    {
        // The next report still reaches the other instances.
        if (!control_->try_push(std::move(action)))
            log_.warn("ring to the control worker is full; action dropped");
    }

private:
    auto post_to_network(network_action action) -> void
    {
        const auto is_pushed = network_->try_push(std::move(action));
        verify(is_pushed, state::guarantee::internal_consistency,
               "the ring to the network worker must have room for all requests that one instance may hold");
    }

    state::instance_id instance_;
    transport::logging::logger log_{"forward"};
    network_ring* network_{nullptr};
    control_ring* control_{nullptr};
};

} // namespace buckthorndale::services::front
