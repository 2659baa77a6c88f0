#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>

namespace buckthorndale::coordination::forwarding {

/// The endpoints that asked this instance to send them nothing for a time. After that time an endpoint first
/// gets single requests, at intervals that shrink with each good answer.
class endpoint_pauses {
public:
    /// Records that an endpoint asked for a pause. The random number spreads the first requests of several
    /// instances after it.
    auto add(const state::endpoint_id& endpoint, state::duration pause, state::time_point now,
             std::uint64_t random) -> void;

    /// When the endpoint may get the next request; `now` unless it asked for a pause.
    auto next_request_at(const state::endpoint_id& endpoint, state::time_point now) const
        -> state::time_point;

    auto record_sent(const state::endpoint_id& endpoint, state::time_point now) -> void;

    /// Records a good answer to a request that was sent at the given time.
    auto record_good_answer(const state::endpoint_id& endpoint, state::time_point sent_at,
                            state::time_point now) -> void;

    auto is_empty() const -> bool { return entries_.empty(); }

    /// Removes pauses that ended long ago.
    auto forget_old(state::time_point now) -> void;

private:
    struct entry {
        state::time_point ends_at_;
        state::time_point next_request_at_;
        /// The time between requests after the pause.
        state::duration interval_{0};
    };

    std::map<state::endpoint_id, entry> entries_;
};

} // namespace buckthorndale::coordination::forwarding
