#pragma once

#include "state/identifiers.hpp"
#include "state/staged_roll_out.hpp"
#include "state/store_position.hpp"

#include <map>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The listed roll-out orders across restores of the store. A copy may lack an order that its operator is
/// about to write again, so a missing order does not mean that its roll-out has ended.
class roll_out_directory {
public:
    /// Replaces the list with what the store returned in an era.
    auto list(const std::vector<state::staged_roll_out>& orders, state::store_era era) -> void;

    /// The listed orders, and those of earlier eras for services without a listed one.
    auto current() const -> std::vector<state::staged_roll_out>;

private:
    using orders_by_service = std::map<state::service_name, state::staged_roll_out>;

    state::store_era era_;
    orders_by_service listed_;
    orders_by_service retained_;
};

} // namespace buckthorndale::coordination::forwarding
