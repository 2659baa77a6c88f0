#pragma once

#include "coordination/membership/confirmation.hpp"
#include "coordination/membership/confirmation_effect.hpp"
#include "coordination/membership/copy_state.hpp"
#include "coordination/membership/currency_limits.hpp"
#include "state/store_position.hpp"
#include "state/units.hpp"

#include <algorithm>
#include <optional>

namespace buckthorndale::coordination::membership {

/// Bounds how long a copy of the store's objects may be taken for current. A subscription that is open and
/// silent proves nothing, so the copy is current only for a time after a read that showed it to be. Instances
/// share the results of their reads: whoever is first to read spares the others theirs, and the number of
/// reads does not grow with the fleet.
///
/// Times include suspensions of the machine.
class currency {
public:
    explicit currency(currency_limits limits) : limits_{limits} {}

    /// Records that a read that was sent at `asked_at` showed the copy to be current up to `position`. The
    /// answer may have been under way for long, so the time of the request counts.
    auto confirm(state::time_point asked_at, state::store_position position, double draw) -> void
    {
        checked_ = std::max(checked_, position);
        if (confirmed_at_ && asked_at <= *confirmed_at_)
            return;
        confirmed_at_ = asked_at;
        check_due_ = asked_at + limits_.check_delay(draw);
    }

    /// Applies another instance's confirmation that was received at `now`.
    auto hear(const confirmation& heard, const copy_state& own, state::time_point now, double draw)
        -> confirmation_effect
    {
        if (heard.position_.era_ != own.position_.era_)
            return confirmation_effect::none;
        if (heard.fingerprint_ == own.fingerprint_) {
            confirm(now - heard.age_ - max_transit, heard.position_, draw);
            return confirmation_effect::confirmed;
        }
        return heard.position_ > own.position_ ? confirmation_effect::behind : confirmation_effect::none;
    }

    /// Where the next check begins. Unlike the copy's own position, it does not rely on the subscription.
    auto checked() const -> state::store_position { return checked_; }

    auto check_due() const -> state::time_point { return check_due_; }

    auto is_current(state::time_point now) const -> bool { return age(now) <= limits_.max_age(); }

    /// The time since the last confirmation.
    auto age(state::time_point now) const -> state::duration
    {
        return confirmed_at_ ? now - *confirmed_at_ : state::duration::max();
    }

    auto limits() const -> const currency_limits& { return limits_; }

private:
    /// Datagrams between data centres take less.
    static constexpr auto max_transit = state::duration{std::chrono::milliseconds{50}};

    currency_limits limits_;
    std::optional<state::time_point> confirmed_at_;
    state::time_point check_due_{};
    state::store_position checked_;
};

} // namespace buckthorndale::coordination::membership
