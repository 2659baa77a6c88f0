#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <vector>

namespace buckthorndale::coordination::suspicion {

/// An attempt that an endpoint's crash ended before its answer had begun, or just after.
struct crashed_attempt {
    state::endpoint_id endpoint_;
    /// The parts of its prompt that other requests may share.
    std::vector<state::prompt_part_key> parts_;
    /// When the attempt was sent.
    state::time_point sent_at_;
};

} // namespace buckthorndale::coordination::suspicion
