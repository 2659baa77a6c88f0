#pragma once

#include "coordination/forwarding/forward_attempt_result.hpp"
#include "coordination/forwarding/forward_command.hpp"
#include "coordination/forwarding/forward_engine.hpp"
#include "coordination/forwarding/forward_request.hpp"
#include "coordination/forwarding/relay_peers.hpp"
#include "coordination/forwarding/service_roll_outs.hpp"
#include "coordination/forwarding/stalled_attempt.hpp"
#include "coordination/routing/refusal.hpp"
#include "protocol/peer/peer_message.hpp"
#include "state/registered_endpoint.hpp"
#include "state/routing_table.hpp"
#include "state/staged_roll_out.hpp"

#include <cstddef>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace buckthorndale::services::front {

namespace forwarding = coordination::forwarding;

/// Capacity of a ring between two workers; far more than the requests that one instance may hold.
inline constexpr auto ring_capacity = std::size_t{8192};

// Events from the network worker to the decision worker.

struct request_arrived {
    state::request_handle handle_;
    forwarding::forward_request request_;
};

struct caller_disconnected {
    state::request_handle request_;
};

/// The result of a probe: whether bytes of an answer came back.
struct endpoint_probed {
    state::endpoint_id endpoint_;
    bool is_reachable_{false};
};

/// The result of an identity check.
struct endpoint_identified {
    state::endpoint_id expected_;
    /// The endpoint that answered; empty if none did.
    state::endpoint_id named_;
};

using network_event = std::variant<request_arrived, forwarding::response_headers, forwarding::stalled_attempt,
                                   forwarding::forward_attempt_result, endpoint_probed, endpoint_identified,
                                   caller_disconnected>;

// Events from the control worker to the decision worker.

struct table_published {
    std::shared_ptr<const state::routing_table> table_;
};

struct freshness_changed {
    bool is_fresh_{false};
};

struct endpoints_published {
    std::vector<state::registered_endpoint> endpoints_;
};

struct roll_outs_published {
    std::vector<state::staged_roll_out> roll_outs_;
};

/// The data centres whose endpoints are to get nothing.
struct emptied_data_centres_published {
    std::set<state::data_centre_id> data_centres_;
};

/// All instances that the store lists, this one included.
struct instances_published {
    std::vector<state::instance_id> instances_;
    /// The other ones to which requests can be passed on.
    std::vector<forwarding::relay_peer> relays_;
};

struct peer_message_received {
    protocol::peer::peer_message message_;
};

struct stop_requested {};

/// The time for unfinished requests is over.
struct stop_overdue {};

using control_event = std::variant<table_published, freshness_changed, endpoints_published,
                                   roll_outs_published, emptied_data_centres_published, instances_published,
                                   peer_message_received, stop_requested, stop_overdue>;

// Actions that the decision worker requests from the network worker.

struct cancel_attempt {
    state::attempt_handle attempt_;
};

struct release_attempt {
    state::request_handle request_;
    state::attempt_handle attempt_;
};

struct finish_request {
    state::request_handle request_;
    state::attempt_handle attempt_;
};

struct refuse_request {
    state::request_handle request_;
    coordination::routing::refusal refusal_;
};

/// Sends an endpoint a request that it runs no work for.
struct probe_endpoint {
    state::endpoint_id endpoint_;
    state::network_address address_;
    std::string path_;
};

/// Asks an address which endpoint answers there.
struct identify_endpoint {
    state::endpoint_id endpoint_;
    state::network_address address_;
    std::string path_;
};

using network_action = std::variant<forwarding::forward_command, cancel_attempt, release_attempt,
                                    finish_request, refuse_request, probe_endpoint, identify_endpoint>;

// Actions that the decision worker requests from the control worker.

/// Sent to all instances at once.
struct broadcast_to_peers {
    protocol::peer::peer_message message_;
};

/// Sent to a few instances, chosen at random.
struct send_to_some_peers {
    protocol::peer::peer_message message_;
};

/// Sent to one instance, if it is listed.
struct send_to_instance {
    state::instance_id to_;
    protocol::peer::peer_message message_;
};

/// One report in three scopes; its recipients depend on which instances watch the store.
struct report_by_scope {
    protocol::peer::peer_message own_;
    protocol::peer::peer_message subtree_;
    protocol::peer::peer_message all_;
};

struct record_roll_out_steps {
    std::vector<forwarding::roll_out_step> steps_;
};

using control_action = std::variant<broadcast_to_peers, send_to_some_peers, send_to_instance, report_by_scope,
                                    record_roll_out_steps>;

} // namespace buckthorndale::services::front
