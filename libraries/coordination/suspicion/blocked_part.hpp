#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::suspicion {

/// A part that is not let through, as instances tell each other.
struct blocked_part {
    state::prompt_part_key part_;
    /// Time since the last crash at which it was present.
    state::duration crashed_ago_{0};
    /// Time until a single request with it may be tried.
    state::duration trial_in_{0};
};

} // namespace buckthorndale::coordination::suspicion
