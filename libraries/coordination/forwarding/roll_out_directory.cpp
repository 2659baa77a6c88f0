#include "coordination/forwarding/roll_out_directory.hpp"

#include <utility>

namespace buckthorndale::coordination::forwarding {

auto roll_out_directory::list(const std::vector<state::staged_roll_out>& orders, state::store_era era) -> void
{
    if (std::exchange(era_, era) != era)
        retained_.merge(listed_);
    listed_.clear();
    for (const auto& order : orders) {
        listed_.insert_or_assign(order.service_, order);
        retained_.erase(order.service_);
    }
}

auto roll_out_directory::current() const -> std::vector<state::staged_roll_out>
{
    auto orders = std::vector<state::staged_roll_out>{};
    for (const auto* source : {&listed_, &retained_}) {
        for (const auto& [service, order] : *source)
            orders.push_back(order);
    }
    return orders;
}

} // namespace buckthorndale::coordination::forwarding
