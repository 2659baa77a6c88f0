#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <vector>

namespace buckthorndale::coordination::forwarding {

/// A request whose answer had not begun, or only just, when its endpoint crashed.
struct crash_notice {
    state::endpoint_id endpoint_;
    state::content_fingerprint content_;
    /// The parts of its prompt that other requests may share.
    std::vector<state::prompt_part_key> parts_;
    /// Time since the request was sent to the endpoint.
    state::duration sent_ago_{0};
};

} // namespace buckthorndale::coordination::forwarding
