#pragma once

#include "state/identifiers.hpp"
#include "state/network_address.hpp"

#include <cstdint>
#include <set>
#include <vector>

/// Which instances do what the others rely on.
namespace buckthorndale::coordination::membership {

/// An instance as the platform's store lists it.
struct listed_instance {
    state::instance_id id_;
    state::data_centre_id data_centre_;
    /// Where other instances reach it.
    state::network_address control_;
    /// The bandwidth of its link, in Mbit/s.
    std::int64_t link_mbps_{0};

    auto operator<=>(const listed_instance&) const = default;
};

/// Chooses who watches the store. Each watch is paid, and the store's rates grow more slowly than the fleet,
/// so a few instances of each data centre watch and tell the others there: those with the best links, since a
/// configuration of hundreds of kilobytes goes to all others. All choose alike from the same list.
class store_watchers {
public:
    explicit store_watchers(listed_instance self) : self_{std::move(self)} {}

    /// Takes over the list; the own instance is added when it is missing.
    auto update(const std::vector<listed_instance>& instances) -> void;

    /// Whether this instance watches the store itself.
    auto is_watcher() const -> bool;

    /// The watchers of the own data centre other than this instance, in the order in which to ask them.
    auto sources() const -> std::vector<state::network_address>;

    /// The watchers of all data centres but this instance.
    auto other_watchers() const -> std::vector<state::network_address>;

    /// The instances of the own data centre that do not watch.
    auto followers() const -> std::vector<state::network_address>;

    /// All other instances.
    auto others() const -> std::vector<state::network_address>;

private:
    auto watchers_of(const state::data_centre_id& data_centre) const -> std::vector<listed_instance>;

    /// Two may be lost at once and one is left. Small deployments have no more instances than this in a data
    /// centre, so all of them watch.
    static constexpr std::size_t max_watchers_per_data_centre{3};

    listed_instance self_;
    std::set<listed_instance> instances_;
};

} // namespace buckthorndale::coordination::membership
