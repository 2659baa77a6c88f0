#include "state/configuration.hpp"

#include <algorithm>

namespace buckthorndale::state {

namespace {

template <typename Map, typename Key>
auto find_in(const Map& map, const Key& key) -> const typename Map::mapped_type*
{
    const auto found = map.find(key);
    return found == map.end() ? nullptr : &found->second;
}

} // namespace

auto configuration::find_version(const version_key& key) const -> const version_settings*
{
    return find_in(versions_, key);
}

auto configuration::find_profile(const profile_name& name) const -> const profile*
{
    return find_in(profiles_, name);
}

auto configuration::find_workspace(const workspace_id& id) const -> const workspace*
{
    return find_in(workspaces_, id);
}

auto configuration::find_roll_out(const model_name& model) const -> const roll_out*
{
    return find_in(roll_outs_, model);
}

auto configuration::is_allowed(const profile& under, const version_key& key) const -> bool
{
    if (!under.lists(key))
        return false;
    const auto* settings = find_version(key);
    return settings != nullptr && settings->state_ != version_state::withdrawn;
}

} // namespace buckthorndale::state
