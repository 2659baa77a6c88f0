#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <set>

/// Requests that may have crashed the endpoints that ran them.
namespace buckthorndale::coordination::suspicion {

/// Remembers, by content, in which endpoint crashes a request was in flight.
/// A request seen in one crash is run only in quarantine; one seen in two is not run again.
class crash_suspects {
public:
    /// Records that content of this router was in flight when the endpoint crashed.
    auto add_local(state::content_fingerprint content, const state::endpoint_id& endpoint,
                   state::time_point now) -> void;

    /// Records another router's word that content was in flight when the endpoint crashed.
    /// That router tries the content again; until it has, nobody else does.
    auto add_remote(state::content_fingerprint content, const state::endpoint_id& endpoint,
                    state::time_point now) -> void;

    /// Whether another router is trying the content again now.
    auto is_retried_elsewhere(state::content_fingerprint content, state::time_point now) const -> bool;

    /// In one crash so far: kept apart from other suspects.
    auto is_suspect(state::content_fingerprint content) const -> bool { return crash_count(content) == 1; }

    /// In as many crashes as one request may cause: refused.
    auto is_blocked(state::content_fingerprint content) const -> bool
    {
        return crash_count(content) >= max_crashes;
    }

    /// Clears a suspect that was answered whole.
    auto clear(state::content_fingerprint content) -> void;

    /// Forgets what is older than the memory.
    auto forget_old(state::time_point now) -> void;

    auto size() const -> std::size_t { return entries_.size(); }

private:
    struct entry {
        std::set<state::endpoint_id> endpoints_;
        state::time_point last_crash_;
        /// Whether a request of this router was in one of the crashes.
        bool is_local_{false};
    };

    auto add(state::content_fingerprint content, const state::endpoint_id& endpoint, state::time_point now)
        -> entry&;

    auto crash_count(state::content_fingerprint content) const -> std::size_t;
    auto drop_oldest() -> void;

    static constexpr std::size_t max_crashes{2};
    static constexpr std::size_t max_entries{4096};
    /// A router that has not cleared a suspect by then may have died.
    static constexpr state::duration max_remote_retry_time{std::chrono::seconds{10}};
    static constexpr state::duration retention{std::chrono::minutes{10}};

    std::map<state::content_fingerprint, entry> entries_;
};

} // namespace buckthorndale::coordination::suspicion
