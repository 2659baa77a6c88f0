#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/request_kind.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// Tells the network thread to run one attempt.
struct forward_command {
    state::request_handle request_;
    state::attempt_handle attempt_;
    state::network_address address_;
    state::endpoint_id endpoint_;
    state::request_kind kind_{state::request_kind::safe};
    /// The owner of the caller's key; empty on anonymous routes.
    state::workspace_id workspace_;
    /// The model to request; empty if the caller chose it.
    state::model_name model_;
    /// From 0, the most urgent, to 9.
    std::int32_t priority_{5};
    /// When the caller must have the final response.
    state::time_point deadline_;
    /// How long to wait for the response headers.
    state::duration first_byte_timeout_{0};
    /// A stream that sends nothing for this long after its response headers is reported as stalled; its
    /// attempt goes on.
    state::duration stall_threshold_{0};
    /// Id of the last event that the caller has; empty at the beginning of a stream.
    std::string resume_after_;
    /// Whether another endpoint may continue the stream, so that its events must be numbered.
    bool is_resumable_{false};
    /// Whether the response body is held back until the engine releases it.
    bool is_held_{false};
    /// Whether the request goes to another instance, which may make this many attempts, and not to an
    /// endpoint.
    std::optional<std::int32_t> relayed_attempts_;
};

} // namespace buckthorndale::coordination::forwarding
