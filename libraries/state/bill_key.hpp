#pragma once

#include "state/identifiers.hpp"

#include <compare>

namespace buckthorndale::state {

/// Identifies a bill. Bill records with the same key are the same bill.
struct bill_key {
    workspace_id workspace_;
    request_id request_;

    auto operator<=>(const bill_key&) const = default;
};

} // namespace buckthorndale::state
