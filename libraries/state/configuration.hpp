#pragma once

#include "state/identifiers.hpp"
#include "state/profile.hpp"
#include "state/roll_out.hpp"
#include "state/version_settings.hpp"
#include "state/workspace.hpp"

#include <map>
#include <vector>

namespace buckthorndale::state {

/// The configuration set by operators, as of one generation. It is immutable once published.
struct configuration {
    generation generation_;
    /// Hash chain over all changes up to the last one, to detect diverged histories.
    std::uint64_t chain_{0};
    std::map<version_key, version_settings> versions_;
    std::map<profile_name, profile> profiles_;
    std::map<workspace_id, workspace> workspaces_;
    std::map<model_name, roll_out> roll_outs_;

    auto find_version(const version_key& key) const -> const version_settings*;
    auto find_profile(const profile_name& name) const -> const profile*;
    auto find_workspace(const workspace_id& id) const -> const workspace*;
    auto find_roll_out(const model_name& model) const -> const roll_out*;

    /// Whether the profile lists the version and the version is not withdrawn.
    auto is_allowed(const profile& under, const version_key& key) const -> bool;

    auto operator==(const configuration&) const -> bool = default;
};

} // namespace buckthorndale::state
