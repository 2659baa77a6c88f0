#pragma once

#include "state/identifiers.hpp"
#include "state/session_pin.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <optional>

namespace buckthorndale::coordination::routing {

/// Describes a complete answer when its end is sent to the caller.
struct answer_summary {
    /// The attempt that produced the answer.
    state::attempt_handle attempt_;
    state::version_key version_;
    state::endpoint_id endpoint_;
    int attempts_{0};
    state::token_count tokens_;
    state::micro_credits cost_;
    /// Pins the session to the version; set for model requests that belong to a session.
    std::optional<state::session_pin> pin_;
};

} // namespace buckthorndale::coordination::routing
