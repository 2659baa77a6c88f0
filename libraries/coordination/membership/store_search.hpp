#pragma once

#include "state/units.hpp"

namespace buckthorndale::coordination::membership {

/// When an instance that follows watchers asks the store itself.
///
/// Load pattern: a fleet starts. Its watchers are still reading the store when the first followers ask them.
/// If those turned to the store at once, each of them would watch it just while hundreds of endpoints
/// register.
class store_search {
public:
    explicit store_search(state::time_point started) : started_{started} {}

    /// Notes that a watcher vouched for what it said.
    auto watcher_vouched() -> void { has_heard_watcher_ = true; }

    /// Whether to ask the store, after all watchers were asked in vain.
    auto may_ask_store(state::time_point now) const -> bool
    {
        return has_heard_watcher_ || now - started_ > longest_start;
    }

private:
    /// Instances start within 0.3 s of each other and register within another 0.5 s; the rest of the two
    /// seconds in which an instance should be ready is left for the store.
    static constexpr state::duration longest_start{std::chrono::milliseconds{1300}};

    state::time_point started_;
    bool has_heard_watcher_{false};
};

} // namespace buckthorndale::coordination::membership
