#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"
#include "state/request_kind.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <string>

namespace buckthorndale::coordination::forwarding {

/// Asks the network side to run one attempt.
struct forward_command {
    state::request_handle request_;
    state::attempt_handle attempt_;
    state::network_address address_;
    state::endpoint_id endpoint_;
    state::request_kind kind_{state::request_kind::safe};
    /// The owner of the caller's key; empty on anonymous routes.
    state::workspace_id workspace_;
    /// The model to ask for; empty when the caller named it.
    state::model_name model_;
    /// From 0, the most urgent, to 9.
    std::int32_t priority_{5};
    /// When the final answer must be out.
    state::time_point deadline_;
    /// How long the endpoint may be silent before the head of its answer.
    state::duration first_byte_timeout_{0};
    /// How long a stream may be silent afterwards.
    state::duration stream_idle_timeout_{0};
    /// The last event that the caller has; empty at the beginning of a stream.
    std::string resume_after_;
    /// Whether the answer waits for the engine's word after its head.
    bool is_held_{false};
};

} // namespace buckthorndale::coordination::forwarding
