#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <map>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// Which endpoints no longer have the address that they registered. Only the name that an answer gives tells
/// that; an endpoint also turns away requests that it cannot serve, such as those for a model that it does
/// not have.
///
/// Load pattern: a caller whose requests every endpoint turns away as misdirected.
class endpoint_identities {
public:
    /// Records that a request was turned away as misdirected, and the endpoint that the answer names; empty
    /// if it names none.
    auto record_misdirected(const state::endpoint_id& expected, const state::endpoint_id& named,
                            state::time_point now) -> void;

    /// Records the endpoint that answered an identity check; empty if none did.
    auto record_checked(const state::endpoint_id& expected, const state::endpoint_id& named,
                        state::time_point now) -> void;

    /// Whether another endpoint has the address.
    auto is_replaced(const state::endpoint_id& id) const -> bool;

    /// The endpoints whose identity is to be checked now: doubtful ones, and from time to time those that
    /// were replaced. Records them as checked.
    auto take_checks(state::time_point now) -> std::vector<state::endpoint_id>;

    /// Forgets an endpoint that registered anew or is no longer listed.
    auto forget(const state::endpoint_id& id) -> void { known_.erase(id); }

private:
    struct identity {
        bool is_replaced_{false};
        bool is_doubtful_{false};
        /// No check before then.
        state::time_point next_check_{};
        state::duration check_interval_{0};
    };

    auto mark_replaced(const state::endpoint_id& id, state::time_point now) -> void;

    std::map<state::endpoint_id, identity> known_;
};

} // namespace buckthorndale::coordination::forwarding
