#pragma once

#include "state/listed_endpoint.hpp"
#include "state/units.hpp"

#include <map>
#include <optional>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// Which endpoints count as listed while the store that lists them comes and goes. Entries lapse while the
/// store is away and come back after its return, so for a while their absence says nothing.
class endpoint_directory {
public:
    /// Takes over what the store lists now.
    auto list(const std::vector<state::listed_endpoint>& endpoints, state::time_point now) -> void;

    /// Notes that the store does not answer.
    auto mark_store_unavailable() -> void { is_store_unavailable_ = true; }

    /// Notes that the store answers again; to be called before list().
    auto mark_store_available(state::time_point now) -> void;

    /// The endpoints that count as listed.
    auto current(state::time_point now) const -> std::vector<state::listed_endpoint>;

    /// When an entry that is only kept ends next; nothing while there is none.
    auto next_expiry(state::time_point now) const -> std::optional<state::time_point>;

private:
    /// The platform's entries are back within about two seconds of the store's return.
    static constexpr state::duration retention_after_outage{std::chrono::milliseconds{2200}};

    bool is_store_unavailable_{false};
    std::optional<state::time_point> store_available_since_;
    std::map<state::endpoint_id, state::listed_endpoint> listed_;
    /// Entries that vanished around the store's absence.
    std::map<state::endpoint_id, state::listed_endpoint> retained_;
};

} // namespace buckthorndale::coordination::forwarding
