#pragma once

#include "state/identifiers.hpp"

#include <optional>

namespace buckthorndale::coordination::forwarding {

/// Which versions of a service a request may run on.
struct version_choice {
    /// The only version allowed; any version when empty.
    std::optional<state::version_name> only_;
    /// A version that is not allowed.
    std::optional<state::version_name> except_;

    auto allows(const state::version_name& version) const -> bool
    {
        return (!only_ || *only_ == version) && (!except_ || *except_ != version);
    }
};

} // namespace buckthorndale::coordination::forwarding
