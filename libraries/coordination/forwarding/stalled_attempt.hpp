#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <string>

namespace buckthorndale::coordination::forwarding {

/// A streamed answer whose endpoint has sent nothing for a while. The attempt is still running.
struct stalled_attempt {
    state::attempt_handle attempt_;
    /// Id of the last event that was delivered to the caller; empty if there was none.
    std::string last_event_;
    state::duration silent_for_{0};
};

} // namespace buckthorndale::coordination::forwarding
