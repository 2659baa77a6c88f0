#pragma once

#include "coordination/forwarding/endpoint_limits.hpp"
#include "state/cold_start.hpp"
#include "state/identifiers.hpp"
#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The endpoints that are cold, and the turns in which instances may send them requests.
///
/// An endpoint is cold after a start and whenever its entry or an answer says so. While it is, the instances
/// take turns as for an endpoint that names a limit, in an order that follows from the list of instances
/// alone, so that the sum of all instances stays below what the endpoint bears without a message for each
/// request. Afterwards the rate doubles in steps, since an endpoint that has lost its cached prompts takes
/// longer for each of them.
///
/// Load pattern: a data centre comes back with all its endpoints cold, or operators give one back, and every
/// instance has requests for each of them.
class cold_endpoints {
public:
    /// Sets what cold endpoints bear. Services that are left out have none.
    auto configure(std::map<state::service_name, state::cold_start> cold_starts, state::time_point now)
        -> void;

    /// Sets all instances that send requests to the endpoints, this one included.
    auto set_instances(const state::instance_id& own, std::vector<state::instance_id> all,
                       state::time_point now) -> void
    {
        turns_.set_instances(own, std::move(all), now);
    }

    /// Records the endpoint's entry. Returns whether the endpoint is cold and was not before.
    auto record_listed(const state::registered_endpoint& endpoint, state::time_point now) -> bool;

    /// Forgets the endpoints that are not among these.
    auto retain(const std::vector<state::registered_endpoint>& listed) -> void;

    /// Ends the first listing: entries that appear from now on belong to endpoints that have just started.
    auto finish_listing() -> void { has_listing_ = true; }

    /// Records what an answer of the endpoint states. Returns whether it is cold and was not before.
    auto record_stated(const state::registered_endpoint& endpoint, state::duration left,
                       state::time_point now) -> bool;

    /// Takes an endpoint for cold from now on that may have become so unnoticed.
    auto assume_cold(const state::registered_endpoint& endpoint, state::time_point now) -> void;

    auto is_cold(const state::registered_endpoint& endpoint, state::time_point now) const -> bool;

    /// When this instance may send the endpoint the next request.
    auto next_request_at(const state::registered_endpoint& endpoint, state::time_point now) const
        -> state::time_point
    {
        return entries_.empty() ? now : turns_.next_request_at(endpoint, now);
    }

    /// When some instance may send the endpoint the next request, as far as can be told.
    auto next_turn_at(const state::registered_endpoint& endpoint, state::time_point now) const
        -> state::time_point
    {
        return entries_.empty() ? now : turns_.next_turn_at(endpoint, now);
    }

    auto record_sent(const state::registered_endpoint& endpoint, state::time_point now) -> void
    {
        turns_.record_sent(endpoint, now);
    }

    /// The permits of this instance, which it may hand over to others.
    auto turns() -> endpoint_limits& { return turns_; }

    /// Raises the rates of endpoints that are no longer cold; to be called with each tick.
    auto advance(state::time_point now) -> void;

    /// Whether no endpoint is cold or was a moment ago.
    auto is_empty() const -> bool { return entries_.empty(); }

    /// The number of cold endpoints.
    auto size(state::time_point now) const -> std::size_t;

private:
    struct entry {
        state::registered_endpoint endpoint_;
        state::time_point cold_until_;
        /// The rate that the turns have now, in requests a second.
        double rate_{0};
    };

    struct seen_entry {
        state::registered_endpoint endpoint_;
        state::time_point seen_at_;
    };

    auto set_cold(const state::registered_endpoint& endpoint, state::duration left, state::time_point now)
        -> bool;
    /// The requests a second that all instances together may send now; 0 for any number.
    auto rate_at(const entry& known, state::time_point now) const -> double;
    auto apply_rate(entry& known, state::time_point now) -> void;

    std::map<state::service_name, state::cold_start> cold_starts_;
    std::map<state::endpoint_id, entry> entries_;
    /// What was last read of each endpoint, so that an entry is not taken for news again.
    std::map<state::endpoint_id, seen_entry> seen_;
    bool has_listing_{false};
    endpoint_limits turns_;
};

} // namespace buckthorndale::coordination::forwarding
