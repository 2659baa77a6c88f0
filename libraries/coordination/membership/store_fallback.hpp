#pragma once

#include "state/units.hpp"

#include <optional>

namespace buckthorndale::coordination::membership {

/// When an instance that follows watchers asks the store itself, so that it becomes one more that watches.
///
/// Load patterns: a fleet starts, and its watchers are still reading the store when the first followers ask
/// them; or the store cuts off all watches at once, and the watchers are back within 0.3 s. If the followers
/// turned to the store at once, each of them would watch it just while hundreds of endpoints change.
class store_fallback {
public:
    explicit store_fallback(state::time_point started) : started_{started} {}

    /// Notes that a watcher vouched for what it said.
    auto watcher_confirmed(state::time_point now) -> void { confirmed_at_ = now; }

    /// Whether to ask the store, after all watchers were asked in vain.
    auto may_ask_store(state::time_point now) const -> bool
    {
        return confirmed_at_ ? now - *confirmed_at_ > confirmation_timeout
                             : now - started_ > start_up_timeout;
    }

private:
    /// Instances start within 0.3 s of each other and register within another 0.5 s; the rest of the two
    /// seconds in which an instance should be ready is left for the store.
    static constexpr state::duration start_up_timeout{std::chrono::milliseconds{1300}};
    /// Watchers try again after 0.3 s at most. A question that waits for news is answered within a second, so
    /// an instance without watchers asks the store after 1.7 s, inside the two seconds in which changes must
    /// be in force.
    static constexpr state::duration confirmation_timeout{std::chrono::milliseconds{1700}};

    state::time_point started_;
    std::optional<state::time_point> confirmed_at_;
};

} // namespace buckthorndale::coordination::membership
