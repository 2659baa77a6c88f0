#pragma once

#include "state/roll_out.hpp"
#include "state/units.hpp"

#include <string>

namespace buckthorndale::coordination::roll_out {

/// A roll-out step that an instance proposes as a change of the configuration.
struct roll_out_proposal {
    /// The configuration generation that the decision was based on.
    state::generation based_on_;
    state::roll_out content_;
    std::string reason_;

    auto operator==(const roll_out_proposal&) const -> bool = default;
};

} // namespace buckthorndale::coordination::roll_out
