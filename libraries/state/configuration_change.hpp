#pragma once

#include "state/configuration.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <string>
#include <variant>

namespace buckthorndale::state {

/// Removes a profile, version, workspace or roll-out.
struct removal {
    std::variant<version_key, profile_name, workspace_id, model_name> subject_;

    auto operator==(const removal&) const -> bool = default;
};

/// What a change puts in place.
using change_content = std::variant<version_settings, profile, workspace, roll_out, removal>;

/// One accepted change: the entry of the configuration log with the number `generation_`.
struct configuration_change {
    generation generation_;
    change_id id_;
    /// Who made it, for the operator that lost a race.
    std::string author_;
    wall_time made_at_;
    /// The chain hash of the configuration that this change follows.
    std::uint64_t previous_chain_{0};
    change_content content_;

    auto operator==(const configuration_change&) const -> bool = default;
};

} // namespace buckthorndale::state
