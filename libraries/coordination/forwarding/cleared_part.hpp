#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::forwarding {

/// A part of a prompt on which an answer began after the last crash.
struct cleared_part {
    state::prompt_part_key part_;
    state::duration began_ago_{0};
    /// Whether this is the content of whole requests and not a part of prompts.
    bool is_content_{false};
};

} // namespace buckthorndale::coordination::forwarding
