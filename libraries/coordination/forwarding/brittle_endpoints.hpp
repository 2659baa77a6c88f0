#pragma once

#include "coordination/forwarding/decline_news.hpp"
#include "state/identifiers.hpp"
#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace buckthorndale::coordination::forwarding {

/// The endpoints that fail if they have to turn away more than a few requests in a second.
///
/// Instances tell each other of every decline. After one each of them lowers its own rate of requests to the
/// endpoint by the same factor, so that the sum falls by it as well, and lets it rise slowly (additive
/// increase, multiplicative decrease: Chiu and Jain, 1989). Once the endpoint has turned away half of what it
/// bears, it gets nothing until a second after the first of these. An instance keeps no more requests in
/// flight at the endpoint than its share of the slots and as many again. That holds also for an endpoint that
/// has not answered yet while others of its service are brittle.
///
/// Load pattern: endpoints that are full one after the other, each of which adds its load to the others when
/// it fails.
class brittle_endpoints {
public:
    /// Sets how many instances send requests to the endpoints; 0 if that is not known.
    auto set_instance_count(std::size_t count) -> void { instance_count_ = count; }

    /// Records that the endpoint is listed. One that is new while others of its service are brittle gets no
    /// more than these. `draw` is a random number from 0 to 1.
    auto record_listed(const state::registered_endpoint& endpoint, state::time_point now, double draw)
        -> void;

    /// Records what a response states, 0 if the endpoint is not brittle.
    auto record_answer(const state::registered_endpoint& endpoint, double max_declines, state::time_point now)
        -> void;

    /// Records that the endpoint declined a request of this instance. Returns what the others have to learn.
    auto record_decline(const state::registered_endpoint& endpoint, state::time_point now, double draw)
        -> std::optional<decline_news>;

    /// Records a decline of the endpoint that another instance announced. `draw` is a random number from 0
    /// to 1.
    auto record_news(const state::registered_endpoint& endpoint, const decline_news& news,
                     state::time_point now, double draw) -> void;

    /// When this instance may send the endpoint the next request.
    auto next_request_at(const state::registered_endpoint& endpoint, state::time_point now) const
        -> state::time_point;

    /// Whether the endpoint may get one more request of this instance, of which it has some in flight there.
    auto has_room(const state::registered_endpoint& endpoint, std::int32_t own_in_flight) const -> bool;

    auto record_sent(const state::registered_endpoint& endpoint, state::time_point now) -> void;

    auto is_empty() const -> bool { return services_.empty(); }

    auto forget_old(state::time_point now) -> void;

private:
    struct entry {
        state::service_name service_;
        std::uint64_t incarnation_{0};
        /// 0 if the endpoint is not brittle.
        double max_declines_{0};
        state::time_point seen_at_;
        /// The declines within the last second, at all instances.
        std::deque<state::time_point> declines_;
        /// The requests of this instance within the last seconds.
        std::deque<state::time_point> sent_;
        /// The requests a second that this instance may send, as of `lowered_at_`; none before a decline.
        std::optional<double> rate_;
        state::time_point lowered_at_{};
        state::time_point next_request_at_{};
    };

    auto find(const state::registered_endpoint& endpoint) const -> const entry*;
    /// Whether the endpoint is brittle, or may be for all that is known.
    auto may_be_brittle(const state::registered_endpoint& endpoint) const -> bool;
    static auto rate_at(const entry& known, state::time_point now) -> double;
    /// The lowest rate of requests a second of this instance.
    auto min_rate() const -> double;
    static auto rate_sent(entry& known, state::time_point now) -> double;
    auto lower(entry& known, state::time_point now, double draw) const -> void;
    /// Keeps the rate of an endpoint as it is, so that it does not get the requests that another one
    /// declined.
    auto hold(entry& known, state::time_point now, double draw) const -> void;
    static auto delay(entry& known, state::time_point until, double draw) -> void;

    std::size_t instance_count_{0};
    std::map<state::endpoint_id, entry> entries_;
    /// When an endpoint of each service was last known to be brittle.
    std::map<state::service_name, state::time_point> services_;
};

} // namespace buckthorndale::coordination::forwarding
