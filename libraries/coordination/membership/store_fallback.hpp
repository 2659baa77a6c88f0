#pragma once

#include "state/units.hpp"

#include <optional>

namespace buckthorndale::coordination::membership {

/// Decides when a follower that gets no confirmation from its watchers falls back to the store, which makes
/// it one more watcher.
///
/// Three load patterns call for a delay: a fleet starts, and its watchers are still reading the store when
/// the first followers ask them; the store drops all watches at once, and the watchers reconnect within 0.3
/// s; or the store is restored, and the watchers read it again after random pauses. Without a delay every
/// follower would watch the store just while hundreds of endpoints change.
class store_fallback {
public:
    explicit store_fallback(state::time_point started) : started_{started} {}

    /// Records that a watcher confirmed the freshness of its answer.
    auto watcher_confirmed(state::time_point now) -> void { confirmed_at_ = now; }

    /// Records that the store was restored, so that the watchers are about to read it again.
    auto store_restored(state::time_point now) -> void { watchers_return_by_ = now + return_timeout; }

    /// Whether to ask the store when no watcher confirmed freshness.
    auto may_ask_store(state::time_point now) const -> bool
    {
        if (now < watchers_return_by_)
            return false;
        return confirmed_at_ ? now - *confirmed_at_ > confirmation_timeout
                             : now - started_ > start_up_timeout;
    }

private:
    /// Instances start within 0.3 s of each other and register within another 0.5 s. An instance should be
    /// ready within two seconds, so the rest is left for reading the store.
    static constexpr state::duration start_up_timeout{std::chrono::milliseconds{1300}};
    /// Watchers reconnect after 0.3 s at most, and a long poll of a watcher is answered within a second. An
    /// instance without watchers asks the store after 1.7 s, inside the two seconds in which changes must
    /// take effect.
    static constexpr state::duration confirmation_timeout{std::chrono::milliseconds{1700}};
    /// Watchers read a store that has returned within 1.05 s.
    static constexpr state::duration return_timeout{std::chrono::milliseconds{1100}};

    state::time_point started_;
    state::time_point watchers_return_by_;
    std::optional<state::time_point> confirmed_at_;
};

} // namespace buckthorndale::coordination::membership
