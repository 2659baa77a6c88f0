#pragma once

#include "coordination/forwarding/cleared_part.hpp"
#include "coordination/forwarding/crash_notice.hpp"
#include "coordination/forwarding/endpoint_notice.hpp"
#include "coordination/forwarding/endpoint_pace_sums.hpp"
#include "coordination/forwarding/endpoint_work.hpp"
#include "coordination/forwarding/limit_message.hpp"
#include "coordination/forwarding/service_roll_outs.hpp"
#include "coordination/membership/confirmation.hpp"
#include "coordination/suspicion/blocked_part.hpp"
#include "state/identifiers.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The datagrams that front instances send directly to each other.
namespace buckthorndale::protocol::peer {

/// What the sender knows to be current.
struct kind_confirmation {
    /// The kind of objects.
    std::string kind_;
    coordination::membership::confirmation confirmation_;
};

/// The content of one datagram.
struct peer_message {
    state::instance_id from_;
    coordination::forwarding::report_scope scope_{coordination::forwarding::report_scope::own};
    coordination::forwarding::roll_out_report roll_outs_;
    std::vector<coordination::forwarding::crash_notice> crashes_;
    /// Parts of prompts on which answers began and went on at the sender.
    std::vector<coordination::forwarding::cleared_part> cleared_parts_;
    /// Parts of prompts that crash endpoints.
    std::vector<coordination::suspicion::blocked_part> blocked_parts_;
    /// Endpoints that announced their shutdown to the sender.
    std::vector<coordination::forwarding::leaving_endpoint> leaving_;
    /// The pending work of each endpoint; unset if the message does not report it.
    std::optional<std::vector<coordination::forwarding::endpoint_work>> work_;
    /// How long endpoints take; unset if the message does not report it.
    std::optional<std::vector<coordination::forwarding::endpoint_pace_sums>> paces_;
    std::vector<kind_confirmation> confirmations_;
    /// How much endpoints take.
    coordination::forwarding::limit_message limits_;
};

auto to_text(const peer_message& message) -> std::string;

/// Throws error of kind invalid_request if the datagram is not a valid peer message.
auto peer_message_from_text(std::string_view text) -> peer_message;

} // namespace buckthorndale::protocol::peer
