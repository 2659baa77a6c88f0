#pragma once

#include "coordination/time/gap_detector.hpp"
#include "state/units.hpp"

namespace buckthorndale::coordination::routing {

/// Tracks whether the configuration may be used: the agent confirmed it within the lease, and the process
/// has not been frozen since.
class freshness_guard {
public:
    freshness_guard(state::duration lease, state::duration freeze_threshold)
        : lease_{lease}, gap_{freeze_threshold}
    {}

    /// Records a reading of the clock. Returns whether the configuration has just become stale.
    auto observe(state::time_point now) -> bool
    {
        const auto was_frozen = gap_.observe(now);
        const auto has_lapsed = is_confirmed_ && now - confirmed_at_ > lease_;
        if (!is_confirmed_ || (!was_frozen && !has_lapsed))
            return false;
        is_confirmed_ = false;
        stale_since_ = now;
        return true;
    }

    /// Records that the agent confirmed the configuration in reply to a query sent at `asked_at`.
    /// The query time counts, because the reply may have been in flight while the process was frozen.
    auto confirm(state::time_point asked_at) -> void
    {
        if (asked_at < stale_since_)
            return;
        is_confirmed_ = true;
        confirmed_at_ = asked_at;
    }

    auto is_confirmed() const -> bool { return is_confirmed_; }

private:
    state::duration lease_;
    time::gap_detector gap_;
    state::time_point confirmed_at_;
    state::time_point stale_since_;
    bool is_confirmed_{false};
};

} // namespace buckthorndale::coordination::routing
