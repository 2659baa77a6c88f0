#pragma once

#include "coordination/forwarding/limit_news.hpp"
#include "coordination/forwarding/permit_transfer.hpp"
#include "state/identifiers.hpp"
#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The limits that endpoints name for the requests of all instances together, and this instance's permits to
/// send them some.
///
/// Each request needs a permit. Permits arise at the rate of the limit, at one instance after the other in
/// an order that follows from the list of instances alone, and soon expire. An instance that needs more asks
/// others, which hand over what they do not need. So no instance has a permit that another one has as well,
/// whatever either has heard: cuts, restarts and lost datagrams leave permits unused and double none.
class endpoint_limits {
public:
    /// Sets all instances that may send requests, this one included; without them there are no permits.
    auto set_instances(const state::instance_id& own, std::vector<state::instance_id> all,
                       state::time_point now) -> void;

    /// Records the limit in a response, 0 for none. Returns what the other instances have to learn.
    auto record_answer(const state::registered_endpoint& endpoint, double rate, state::time_point now)
        -> std::optional<limit_news>;

    /// Records what another instance says. Returns a reply if that is outdated.
    auto record_news(const limit_news& news, state::time_point now) -> std::optional<limit_news>;

    /// Whether the endpoint named a limit in its newest known response.
    auto is_limited(const state::registered_endpoint& endpoint) const -> bool;

    /// When this instance may send the endpoint the next request.
    auto next_request_at(const state::registered_endpoint& endpoint, state::time_point now) const
        -> state::time_point;

    /// When some instance may send the endpoint the next request, as far as can be told.
    auto next_turn_at(const state::registered_endpoint& endpoint, state::time_point now) const
        -> state::time_point;

    /// Whether nobody seems to have asked the endpoint for a while whether its limit still holds, and this
    /// instance may.
    auto is_due_for_check(const state::registered_endpoint& endpoint, state::time_point now) const -> bool;

    auto record_sent(const state::registered_endpoint& endpoint, state::time_point now) -> void;

    /// Records a request that could not be sent for want of a permit.
    auto record_unmet(const state::registered_endpoint& endpoint, state::time_point now) -> void;

    /// The permits to ask other instances for; to be called with each tick.
    auto wanted_permits(state::time_point now) -> std::vector<permit_transfer>;

    /// Takes permits for another instance out of this instance's own; none if it needs them itself.
    auto hand_over(const permit_transfer& wanted, state::time_point now) -> std::optional<permit_transfer>;

    /// Adds permits that another instance handed over.
    auto receive(const permit_transfer& permits, state::time_point now) -> void;

    /// All limits, and those that ended a moment ago, for instances that missed the news.
    auto news(state::time_point now) const -> std::vector<limit_news>;

    auto is_empty() const -> bool { return entries_.empty(); }

    /// The number of endpoints that name a limit.
    auto size() const -> std::size_t;

    auto forget_old(state::time_point now) -> void;

private:
    struct entry {
        std::uint64_t incarnation_{0};
        /// 0 once the limit has ended.
        double rate_{0};
        state::time_point seen_at_;
        state::time_point began_at_;
        /// The first of this instance's permits that is neither used nor handed over.
        std::int64_t next_permit_{0};
        /// When permits that others handed over expire, the earliest first.
        std::vector<state::time_point> received_;
        /// Requests that lacked a permit since the last time that others were asked.
        std::int32_t unmet_{0};
        state::time_point unmet_at_{};
        state::time_point asked_at_{};
    };

    auto find(const state::registered_endpoint& endpoint) const -> const entry*;
    auto find(const state::registered_endpoint& endpoint) -> entry*;
    /// Sets the rate and the start from which turns are counted. Permits at hand are given up.
    auto restart_turns(const state::endpoint_id& endpoint, entry& known, double rate,
                       state::time_point began_at, state::time_point now) const -> void;
    /// The position of a time in this instance's permits: permit k may be used from position k on.
    auto position_of(const state::endpoint_id& endpoint, const entry& known, state::time_point time) const
        -> double;
    auto time_of(const state::endpoint_id& endpoint, const entry& known, std::int64_t permit) const
        -> state::time_point;
    /// The first permit that may be used or arises next.
    auto first_usable(const state::endpoint_id& endpoint, const entry& known, state::time_point now) const
        -> std::int64_t;
    /// How many permits of its own the instance can use now.
    auto usable_count(const state::endpoint_id& endpoint, const entry& known, state::time_point now) const
        -> std::int64_t;
    /// How long a permit can be used.
    static auto validity(double rate) -> state::duration;
    static auto news_of(const state::endpoint_id& endpoint, const entry& known, state::time_point now)
        -> limit_news;

    std::map<state::endpoint_id, entry> entries_;
    std::vector<state::instance_id> instances_;
    std::size_t own_rank_{0};
};

} // namespace buckthorndale::coordination::forwarding
