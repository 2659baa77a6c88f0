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
    /// Time between that trial and the next one; zero if unknown.
    state::duration trial_interval_{0};
    /// Whether this is the content of whole requests and not a part of prompts.
    bool is_content_{false};
};

} // namespace buckthorndale::coordination::suspicion
