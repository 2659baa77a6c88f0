#include <utility>

#include "agent/agent_state.hpp"

namespace buckthorndale::services::agent {

namespace {

auto seeds_without_self(const agent_settings& settings) -> std::vector<state::network_address>
{
    auto addresses = settings.seeds_;
    std::erase(addresses, settings.control_);
    return addresses;
}

} // namespace

auto agent_state::peers_in_all_data_centres() const -> std::vector<state::network_address>
{
    auto addresses = std::vector<state::network_address>{};
    for (const auto& member : instance_list_.members_) {
        if (member.id_ != settings_.instance_)
            addresses.push_back(member.agent_);
    }
    return addresses.empty() ? seeds_without_self(settings_) : addresses;
}

auto agent_state::peers_in_data_centre() const -> std::vector<state::network_address>
{
    auto addresses = std::vector<state::network_address>{};
    for (const auto& member : instance_list_.members_) {
        const auto is_in_own_data_centre = member.data_centre_ == settings_.data_centre_;
        if (is_in_own_data_centre && member.id_ != settings_.instance_)
            addresses.push_back(member.agent_);
    }
    return addresses.empty() ? seeds_without_self(settings_) : addresses;
}

} // namespace buckthorndale::services::agent
