#include "coordination/placement/holder_order.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <tuple>

namespace buckthorndale::coordination::placement {

auto holder_order(const state::instance_id& self, const state::data_centre_id& data_centre,
                  const std::vector<state::member>& members) -> std::vector<state::instance_id>
{
    const auto seed = state::stable_hash(self.text());
    auto others = std::vector<state::member>{};
    for (const auto& member : members) {
        if (member.id_ != self)
            others.push_back(member);
    }
    const auto rank = [&](const state::member& member) {
        const auto is_remote = member.data_centre_ != data_centre;
        const auto is_leaving = member.state_ == state::instance_state::leaving;
        return std::tuple{is_remote, is_leaving, state::stable_hash(member.id_.text(), seed),
                          member.id_.text()};
    };
    std::ranges::sort(others, {}, rank);
    auto order = std::vector{self};
    for (const auto& member : others)
        order.push_back(member.id_);
    return order;
}

auto is_watcher(const state::instance_id& self, const state::data_centre_id& data_centre,
                const std::vector<state::member>& members, std::size_t max_watchers) -> bool
{
    const auto hash_of = [](const state::instance_id& id) {
        return std::pair{state::stable_hash(id.text()), id.text()};
    };
    const auto own = hash_of(self);
    const auto precedes_self = [&](const state::member& member) {
        return member.data_centre_ == data_centre && member.state_ == state::instance_state::live &&
               member.id_ != self && hash_of(member.id_) < own;
    };
    return static_cast<std::size_t>(std::ranges::count_if(members, precedes_self)) < max_watchers;
}

} // namespace buckthorndale::coordination::placement
