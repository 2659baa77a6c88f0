#include "coordination/configuration/apply_change.hpp"

#include "state/error.hpp"
#include "state/field_value.hpp"
#include "state/invariant.hpp"
#include "state/overloaded.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>

namespace buckthorndale::coordination::configuration {

namespace {

using state::error;
using state::error_kind;

constexpr auto max_weight = 1000;

auto check_permille(state::permille value, const std::string& field) -> void
{
    if (value < state::permille{} || value > state::full_share)
        throw error{error_kind::invalid_request, field + " is out of range.",
                    "Set it to a number from 0 to 1000."};
}

auto check_not_empty(bool is_empty, const std::string& field) -> void
{
    if (is_empty)
        throw error{error_kind::invalid_request, field + " is empty.", "Set a value for it."};
}

/// Names stand in headers, as that of a version does in each answer.
auto check_name(const std::string& name, const std::string& field) -> void
{
    check_not_empty(name.empty(), field);
    if (!state::is_field_value(name))
        throw error{error_kind::invalid_request, field + " cannot be the value of a header.",
                    "Use no control characters, no blanks at the ends, and at most 1024 bytes."};
}

auto check_version_exists(const state::configuration& before, const state::version_key& key) -> void
{
    if (before.find_version(key) == nullptr)
        throw error{error_kind::not_found, "There is no version " + key.text() + ".",
                    "Create the version first."};
}

auto check_new_version_key(const state::version_key& key) -> void
{
    check_name(key.model_.text(), "model");
    check_name(key.version_.text(), "version");
    if (key.model_.text().find('@') != std::string::npos)
        throw error{error_kind::invalid_request,
                    "The model's name contains '@', which ends it in 'model@version'.",
                    "Use a name without '@'."};
}

auto check_version(const state::configuration& before, const state::version_settings& version) -> void
{
    // Those that exist can still be withdrawn.
    if (before.find_version(version.key_) == nullptr)
        check_new_version_key(version.key_);
    check_permille(version.expected_quality_, "expected_quality");
    if (version.price_per_thousand_tokens_ < state::micro_credits{})
        throw error{error_kind::invalid_request, "The price is negative.", "Set a price of 0 or more."};
}

auto check_profile(const state::configuration& before, const state::profile& profile) -> void
{
    if (before.find_profile(profile.name_) == nullptr)
        check_name(profile.name_.text(), "name");
    check_not_empty(profile.versions_.empty(), "versions");
    check_permille(profile.quality_target_, "quality_target");
    for (const auto& key : profile.versions_)
        check_version_exists(before, key);
    if (profile.deadline_ <= state::duration::zero())
        throw error{error_kind::invalid_request, "The deadline is not positive.",
                    "Set a deadline of at least 1 ms."};
}

auto check_workspace(const state::configuration& before, const state::workspace& workspace) -> void
{
    if (before.find_workspace(workspace.id_) == nullptr)
        check_name(workspace.id_.text(), "id");
    check_not_empty(workspace.key_hash_.empty(), "key_hash");
    if (workspace.weight_ < 1 || workspace.weight_ > max_weight)
        throw error{error_kind::invalid_request, "weight is out of range.",
                    "Set it to a number from 1 to 1000."};
    for (const auto& name : workspace.profiles_) {
        if (before.find_profile(name) == nullptr)
            throw error{error_kind::not_found, "There is no profile " + name.text() + ".",
                        "Create the profile first."};
    }
}

auto check_roll_out(const state::configuration& before, const state::roll_out& roll_out) -> void
{
    check_version_exists(before, roll_out.from_key());
    check_version_exists(before, roll_out.to_key());
    check_permille(roll_out.share_, "share");
    if (roll_out.from_ == roll_out.to_)
        throw error{error_kind::invalid_request, "The old and the new version of the roll-out are the same.",
                    "Specify two different versions."};
}

auto check_version_unused(const state::configuration& before, const state::version_key& key) -> void
{
    for (const auto& [name, profile] : before.profiles_) {
        if (profile.lists(key))
            throw error{error_kind::conflict, "Profile " + name.text() + " still lists " + key.text() + ".",
                        "Remove the version from the profile first."};
    }
}

auto check_profile_unused(const state::configuration& before, const state::profile_name& profile) -> void
{
    for (const auto& [id, workspace] : before.workspaces_) {
        if (std::ranges::find(workspace.profiles_, profile) != workspace.profiles_.end())
            throw error{error_kind::conflict,
                        "Workspace " + id.text() + " still uses profile " + profile.text() + ".",
                        "Remove the profile from the workspace first."};
    }
}

template <typename Map, typename Key>
auto check_exists(const Map& map, const Key& key, const std::string& text) -> void
{
    if (!map.contains(key))
        throw error{error_kind::not_found, "There is no " + text + ".",
                    "List the existing objects and check the name."};
}

auto check_removal(const state::configuration& before, const state::removal& removal) -> void
{
    const auto subject = change_subject(removal);
    std::visit(state::overloaded{
                   [&](const state::version_key& key) {
                       check_exists(before.versions_, key, subject);
                       check_version_unused(before, key);
                   },
                   [&](const state::profile_name& name) {
                       check_exists(before.profiles_, name, subject);
                       check_profile_unused(before, name);
                   },
                   [&](const state::workspace_id& id) { check_exists(before.workspaces_, id, subject); },
                   [&](const state::model_name& model) { check_exists(before.roll_outs_, model, subject); },
               },
               removal.subject_);
}

auto erase_from(state::configuration& after, const state::removal& removal) -> void
{
    std::visit(state::overloaded{
                   [&](const state::version_key& key) { after.versions_.erase(key); },
                   [&](const state::profile_name& name) { after.profiles_.erase(name); },
                   [&](const state::workspace_id& id) { after.workspaces_.erase(id); },
                   [&](const state::model_name& model) { after.roll_outs_.erase(model); },
               },
               removal.subject_);
}

auto next_chain(const state::configuration& before, const state::configuration_change& change)
    -> std::uint64_t
{
    return state::stable_hash(change.id_.text(), before.chain_);
}

} // namespace

auto check_change(const state::configuration& before, const state::configuration_change& change) -> void
{
    check_name(change.id_.text(), "change id");
    std::visit(state::overloaded{
                   [&](const state::version_settings& version) { check_version(before, version); },
                   [&](const state::profile& profile) { check_profile(before, profile); },
                   [&](const state::workspace& workspace) { check_workspace(before, workspace); },
                   [&](const state::roll_out& roll_out) { check_roll_out(before, roll_out); },
                   [&](const state::removal& removal) { check_removal(before, removal); },
               },
               change.content_);
}

auto apply_change(const state::configuration& before, const state::configuration_change& change)
    -> state::configuration
{
    verify(change.generation_ == before.generation_.next(), state::guarantee::configuration_moves_forward,
           "a change must have the generation that follows the current one");
    verify(change.previous_chain_ == before.chain_, state::guarantee::configuration_moves_forward,
           "a change must be based on the same history");
    auto after = before;
    after.generation_ = change.generation_;
    after.chain_ = next_chain(before, change);
    std::visit(state::overloaded{
                   [&](const state::version_settings& version) { after.versions_[version.key_] = version; },
                   [&](const state::profile& profile) { after.profiles_[profile.name_] = profile; },
                   [&](const state::workspace& workspace) { after.workspaces_[workspace.id_] = workspace; },
                   [&](const state::roll_out& roll_out) { after.roll_outs_[roll_out.model_] = roll_out; },
                   [&](const state::removal& removal) { erase_from(after, removal); },
               },
               change.content_);
    return after;
}

auto change_subject(const state::change_content& content) -> std::string
{
    const auto removed = [](const state::removal& removal) {
        return std::visit(state::overloaded{
                              [](const state::version_key& key) { return "version " + key.text(); },
                              [](const state::profile_name& name) { return "profile " + name.text(); },
                              [](const state::workspace_id& id) { return "workspace " + id.text(); },
                              [](const state::model_name& model) { return "roll-out " + model.text(); },
                          },
                          removal.subject_);
    };
    return std::visit(
        state::overloaded{
            [](const state::version_settings& version) { return "version " + version.key_.text(); },
            [](const state::profile& profile) { return "profile " + profile.name_.text(); },
            [](const state::workspace& workspace) { return "workspace " + workspace.id_.text(); },
            [](const state::roll_out& roll_out) { return "roll-out " + roll_out.model_.text(); },
            removed,
        },
        content);
}

} // namespace buckthorndale::coordination::configuration
