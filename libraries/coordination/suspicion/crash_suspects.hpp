#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <set>

/// Detection of requests that may have crashed the endpoints that ran them.
namespace buckthorndale::coordination::suspicion {

/// Records, by content, the endpoint crashes during which a request was in flight.
/// A request seen in one crash is run only in quarantine; one seen in two is not run again.
class crash_suspects {
public:
    /// Records that content from this router was in flight when the endpoint crashed.
    auto add_local(state::content_fingerprint content, const state::endpoint_id& endpoint,
                   state::time_point now) -> void;

    /// Records another router's report that content was in flight when the endpoint crashed.
    /// That router retries the content; until it has, no other router does.
    auto add_remote(state::content_fingerprint content, const state::endpoint_id& endpoint,
                    state::time_point now) -> void;

    /// Whether another router is currently retrying the content.
    auto is_retried_elsewhere(state::content_fingerprint content, state::time_point now) const -> bool;

    /// Seen in one crash so far; run apart from other suspects.
    auto is_suspect(state::content_fingerprint content) const -> bool { return crash_count(content) == 1; }

    /// Seen in the maximum number of crashes; refused.
    auto is_blocked(state::content_fingerprint content) const -> bool
    {
        return crash_count(content) >= max_crashes;
    }

    /// Takes back that the endpoint crashed while the content was in flight.
    auto withdraw(state::content_fingerprint content, const state::endpoint_id& endpoint) -> void;

    /// Clears a suspect that was answered completely; blocked content stays blocked.
    auto clear(state::content_fingerprint content) -> void;

    /// Removes entries older than the retention time.
    auto forget_old(state::time_point now) -> void;

    auto size() const -> std::size_t { return entries_.size(); }

private:
    struct entry {
        std::set<state::endpoint_id> endpoints_;
        state::time_point last_crash_;
        /// Whether a request from this router was in flight during one of the crashes.
        bool is_local_{false};
    };

    auto add(state::content_fingerprint content, const state::endpoint_id& endpoint, state::time_point now)
        -> entry&;

    auto crash_count(state::content_fingerprint content) const -> std::size_t;
    auto drop_oldest() -> void;

    static constexpr std::size_t max_crashes{2};
    static constexpr std::size_t max_entries{4096};
    /// A router that has not cleared a suspect by then may have failed.
    static constexpr state::duration max_remote_retry_time{std::chrono::seconds{10}};
    static constexpr state::duration retention{std::chrono::minutes{10}};

    std::map<state::content_fingerprint, entry> entries_;
};

} // namespace buckthorndale::coordination::suspicion
