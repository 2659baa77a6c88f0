#pragma once

#include "state/registered_endpoint.hpp"
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
    auto list(const std::vector<state::registered_endpoint>& endpoints, state::time_point now) -> void;

    /// Notes that the store does not answer.
    auto lose() -> void { is_lost_ = true; }

    /// Notes that the store answers again; to be called before list().
    auto regain(state::time_point now) -> void;

    /// The endpoints that count as listed.
    auto current(state::time_point now) const -> std::vector<state::registered_endpoint>;

    /// When an entry that is only kept ends next; nothing while there is none.
    auto next_end(state::time_point now) const -> std::optional<state::time_point>;

private:
    /// The platform's entries are back within about two seconds of the store's return.
    static constexpr state::duration longest_return{std::chrono::milliseconds{2200}};

    bool is_lost_{false};
    std::optional<state::time_point> regained_at_;
    std::map<state::endpoint_id, state::registered_endpoint> listed_;
    /// Entries that vanished around the store's absence.
    std::map<state::endpoint_id, state::registered_endpoint> kept_;
};

} // namespace buckthorndale::coordination::forwarding
