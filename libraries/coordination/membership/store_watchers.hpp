#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

/// Assigns the instances that watch the platform's store on behalf of the others.
namespace buckthorndale::coordination::membership {

/// An instance as the platform's store lists it.
struct listed_instance {
    state::instance_id id_;
    state::data_centre_id data_centre_;
    /// The address at which other instances reach it.
    state::network_address control_;
    /// The bandwidth of its link, in Mbit/s.
    std::int64_t link_mbps_{0};
    /// Where it accepts requests that other instances pass on; none if it does not.
    std::optional<state::network_address> relay_;

    auto operator<=>(const listed_instance&) const = default;
};

/// Selects the instances that watch the store. Each watch costs money, and the store's rate limits grow more
/// slowly than the fleet, so a few instances of each data centre watch and update the others there. Those
/// with the fastest links are selected, since they send a configuration of hundreds of kilobytes to all
/// others. Every instance computes the same selection from the same list.
class store_watchers {
public:
    explicit store_watchers(listed_instance self) : self_{std::move(self)} {}

    /// Replaces the list of instances; this instance is added if it is missing.
    auto update(const std::vector<listed_instance>& instances) -> void;

    /// Adds to the list of instances.
    auto add(const std::vector<listed_instance>& instances) -> void;

    auto is_watcher() const -> bool;

    /// The other watchers of this data centre, in the order in which to ask them.
    auto sources() const -> std::vector<state::network_address>;

    /// The watchers of all data centres except this instance.
    auto other_watchers() const -> std::vector<state::network_address>;

    /// The other instances of this data centre that do not watch.
    auto followers() const -> std::vector<state::network_address>;

    /// All instances, this one included.
    auto all() const -> std::vector<state::instance_id>;

    auto other_instances() const -> std::vector<listed_instance>;

    /// Where another instance is reached; none if it is not listed.
    auto address_of(const state::instance_id& instance) const -> std::optional<state::network_address>;

    /// All other instances.
    auto others() const -> std::vector<state::network_address>;

private:
    auto watchers_of(const state::data_centre_id& data_centre) const -> std::vector<listed_instance>;

    /// With three, two may fail at once and one is left. In small deployments, with no more instances than
    /// this in a data centre, all of them watch.
    static constexpr std::size_t max_watchers_per_data_centre{3};

    listed_instance self_;
    std::set<listed_instance> instances_;
};

} // namespace buckthorndale::coordination::membership
