#pragma once

#include "state/units.hpp"

#include <algorithm>

namespace buckthorndale::coordination::membership {

/// The times that keep a copy of the store's objects current. All are parts of the time within which a change
/// must be in force, so that an unnoticed change is found, read and applied within it.
class currency_limits {
public:
    explicit currency_limits(state::duration max_delay) : max_delay_{max_delay} {}

    /// The earliest time from one confirmation to the next check; `draw` from 0 to 1 spreads the checks of
    /// different instances.
    auto check_delay(double draw) const -> state::duration { return part(0.3 + 0.15 * draw); }

    /// How long a check may take.
    auto check_timeout() const -> state::duration { return part(0.2); }

    /// Objects that were not confirmed for this long no longer count as current.
    auto max_age() const -> state::duration { return part(0.85); }

    /// How long a watcher delays its answer to a follower while there are no updates.
    auto follower_wait() const -> state::duration { return part(0.25); }

    /// A watcher that takes longer than that, by more than the margin, is abandoned.
    auto follower_margin() const -> state::duration { return part(0.2); }

    /// How long a watcher waits after a change before it asks for the next ones, which it gets together.
    ///
    /// Load pattern: hundreds of endpoints register or leave one after the other within seconds, and each
    /// change would end the watch of every watcher.
    auto batching_delay() const -> state::duration
    {
        constexpr auto max_delay = state::duration{std::chrono::milliseconds{500}};
        return std::min(part(0.1), max_delay);
    }

private:
    auto part(double fraction) const -> state::duration
    {
        return state::duration{
            static_cast<state::duration::rep>(static_cast<double>(max_delay_.count()) * fraction)};
    }

    state::duration max_delay_;
};

} // namespace buckthorndale::coordination::membership
