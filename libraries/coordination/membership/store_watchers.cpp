#include "coordination/membership/store_watchers.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace buckthorndale::coordination::membership {

auto store_watchers::update(const std::vector<listed_instance>& instances) -> void
{
    instances_ = {instances.begin(), instances.end()};
    std::erase_if(instances_, [this](const auto& item) { return item.id_ == self_.id_; });
    instances_.insert(self_);
}

auto store_watchers::add(const std::vector<listed_instance>& instances) -> void
{
    for (const auto& item : instances) {
        std::erase_if(instances_, [&](const auto& known) { return known.id_ == item.id_; });
        instances_.insert(item);
    }
    std::erase_if(instances_, [this](const auto& item) { return item.id_ == self_.id_; });
    instances_.insert(self_);
}

auto store_watchers::watchers_of(const state::data_centre_id& data_centre) const
    -> std::vector<listed_instance>
{
    auto candidates = std::vector<listed_instance>{};
    for (const auto& item : instances_) {
        if (item.data_centre_ == data_centre)
            candidates.push_back(item);
    }
    std::ranges::sort(candidates, {}, [](const auto& item) {
        return std::pair{-item.link_mbps_, state::stable_hash(item.id_.text())};
    });
    if (candidates.size() > max_watchers_per_data_centre)
        candidates.resize(max_watchers_per_data_centre);
    return candidates;
}

auto store_watchers::is_watcher() const -> bool
{
    // Until the list is known, no other watcher can be relied on.
    if (instances_.empty())
        return true;
    return std::ranges::any_of(watchers_of(self_.data_centre_),
                               [this](const auto& item) { return item.id_ == self_.id_; });
}

auto store_watchers::sources() const -> std::vector<state::network_address>
{
    auto candidates = watchers_of(self_.data_centre_);
    std::erase_if(candidates, [this](const auto& item) { return item.id_ == self_.id_; });
    // Instances start with different watchers, which spreads the load.
    if (!candidates.empty()) {
        const auto first = state::stable_hash(self_.id_.text(), 1) % candidates.size();
        std::ranges::rotate(candidates, candidates.begin() + static_cast<std::ptrdiff_t>(first));
    }
    auto addresses = std::vector<state::network_address>{};
    for (const auto& item : candidates)
        addresses.push_back(item.control_);
    return addresses;
}

auto store_watchers::other_watchers() const -> std::vector<state::network_address>
{
    auto data_centres = std::set<state::data_centre_id>{};
    for (const auto& item : instances_)
        data_centres.insert(item.data_centre_);
    auto addresses = std::vector<state::network_address>{};
    for (const auto& data_centre : data_centres) {
        for (const auto& item : watchers_of(data_centre)) {
            if (item.id_ != self_.id_)
                addresses.push_back(item.control_);
        }
    }
    return addresses;
}

auto store_watchers::followers() const -> std::vector<state::network_address>
{
    const auto watching = watchers_of(self_.data_centre_);
    auto addresses = std::vector<state::network_address>{};
    for (const auto& item : instances_) {
        const auto watches = std::ranges::find(watching, item) != watching.end();
        if (item.data_centre_ == self_.data_centre_ && !watches && item.id_ != self_.id_)
            addresses.push_back(item.control_);
    }
    return addresses;
}

auto store_watchers::all() const -> std::vector<state::instance_id>
{
    auto ids = std::vector<state::instance_id>{};
    for (const auto& item : instances_)
        ids.push_back(item.id_);
    return ids;
}

auto store_watchers::other_instances() const -> std::vector<listed_instance>
{
    auto others = std::vector<listed_instance>{};
    std::ranges::copy_if(instances_, std::back_inserter(others),
                         [this](const auto& item) { return item.id_ != self_.id_; });
    return others;
}

auto store_watchers::address_of(const state::instance_id& instance) const
    -> std::optional<state::network_address>
{
    const auto found = std::ranges::find(instances_, instance, &listed_instance::id_);
    return found == instances_.end() ? std::nullopt : std::optional{found->control_};
}

auto store_watchers::others() const -> std::vector<state::network_address>
{
    auto addresses = std::vector<state::network_address>{};
    for (const auto& item : instances_) {
        if (item.id_ != self_.id_)
            addresses.push_back(item.control_);
    }
    return addresses;
}

} // namespace buckthorndale::coordination::membership
