#pragma once

#include "state/identifiers.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthorndale::state {

/// A tenant: its key, its profiles and its weight for fair sharing.
struct workspace {
    workspace_id id_;
    /// SHA-256 of the caller's key in lower-case hexadecimal. The key itself is never stored.
    std::string key_hash_;
    std::vector<profile_name> profiles_;
    std::vector<service_name> services_;
    /// The weight for fair sharing when the pool is full, from 1 to 1,000.
    std::int32_t weight_{1};

    auto operator==(const workspace&) const -> bool = default;
};

} // namespace buckthorndale::state
