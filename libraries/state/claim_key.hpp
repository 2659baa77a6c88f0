#pragma once

#include "state/identifiers.hpp"

#include <compare>
#include <string>

namespace buckthorndale::state {

/// Identifies a non-idempotent call by the workspace and the caller's idempotency key.
struct claim_key {
    workspace_id workspace_;
    std::string idempotency_key_;

    auto operator<=>(const claim_key&) const = default;
};

} // namespace buckthorndale::state
