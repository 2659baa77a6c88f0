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

/// The object that a change sets or removes.
using change_content = std::variant<version_settings, profile, workspace, roll_out, removal>;

/// An accepted change: the entry with number `generation_` in the configuration log.
struct configuration_change {
    generation generation_;
    change_id id_;
    /// Who made the change; shown to an operator whose own change conflicts with it.
    std::string author_;
    wall_time made_at_;
    /// The hash chain of the configuration that this change is applied to.
    std::uint64_t previous_chain_{0};
    change_content content_;

    auto operator==(const configuration_change&) const -> bool = default;
};

} // namespace buckthorndale::state
