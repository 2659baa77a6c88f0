#pragma once

#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <map>
#include <optional>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The listed endpoints across outages of the store. Entries expire during an outage and are registered again
/// after it, so for a while a missing entry does not mean that the endpoint is gone.
class endpoint_directory {
public:
    /// Replaces the list with what the store returned.
    auto list(const std::vector<state::registered_endpoint>& endpoints, state::time_point now) -> void;

    auto mark_store_unavailable() -> void { is_store_unavailable_ = true; }

    /// Ends an outage; to be called before list().
    auto mark_store_available(state::time_point now) -> void;

    /// The listed endpoints and the retained ones.
    auto current(state::time_point now) const -> std::vector<state::registered_endpoint>;

    /// When the retained entries expire; nothing while there are none.
    auto next_expiry(state::time_point now) const -> std::optional<state::time_point>;

private:
    /// The platform registers its entries again within about two seconds after an outage of the store.
    static constexpr state::duration retention_after_outage{std::chrono::milliseconds{2200}};

    bool is_store_unavailable_{false};
    std::optional<state::time_point> store_available_since_;
    std::map<state::endpoint_id, state::registered_endpoint> listed_;
    /// Entries that disappeared during an outage or shortly after it.
    std::map<state::endpoint_id, state::registered_endpoint> retained_;
};

} // namespace buckthorndale::coordination::forwarding
