#pragma once

#include "coordination/forwarding/brittle_endpoints.hpp"
#include "coordination/forwarding/cold_endpoints.hpp"
#include "coordination/forwarding/endpoint_identities.hpp"
#include "coordination/forwarding/endpoint_limits.hpp"
#include "coordination/forwarding/endpoint_paces.hpp"
#include "coordination/forwarding/endpoint_pauses.hpp"
#include "coordination/forwarding/endpoint_work.hpp"
#include "coordination/forwarding/leaving_endpoints.hpp"
#include "coordination/forwarding/version_choice.hpp"
#include "state/identifiers.hpp"
#include "state/registered_endpoint.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace buckthorndale::coordination::forwarding {

/// The requirements of a request on its endpoint.
struct pool_query {
    state::service_name service_;
    version_choice version_;
    /// Affinity key of requests whose prompts share a prefix; empty when there is none.
    std::string affinity_;
    /// The router's own data centre.
    state::data_centre_id data_centre_;
    /// Whether a cached prefix in another data centre is worth less than the bytes to send there.
    bool stays_in_data_centre_{false};
    std::set<state::endpoint_id> excluded_;
    /// Whether a cold endpoint is used only when there is no other.
    bool avoids_cold_{false};
    /// The time to first byte at an endpoint with an empty queue.
    state::duration work_{0};
    /// The part of `work_` spent on the prefix that requests with the same affinity share. An endpoint that
    /// has the prefix in its cache skips it.
    state::duration shared_work_{0};
};

/// The endpoint chosen for a request.
struct pool_choice {
    state::endpoint_id endpoint_;
    /// The queueing delay behind requests that routers have already sent there.
    state::duration queue_{0};
    /// The expected time to first byte, including the queueing delay.
    state::duration expected_{0};
    /// The part of it that an average endpoint would need for the request itself.
    state::duration work_{0};
};

/// One router's view of the endpoints: which ones are listed, which are ejected after failures, and how many
/// of the router's own requests each has in flight.
class endpoint_pool {
public:
    /// Replaces the list of endpoints. Endpoints that are missing or draining get no new requests.
    auto update(const std::vector<state::registered_endpoint>& endpoints) -> void;

    /// Chooses an endpoint; none when no endpoint of the service accepts new requests.
    auto choose(const pool_query& query, state::time_point now, std::uint64_t random) const
        -> std::optional<pool_choice>;

    /// When this instance may send a new request to some endpoint, which is later than now while all of them
    /// pause or have got what they take; none when no endpoint of the service accepts new requests.
    auto next_request_at(const pool_query& query, state::time_point now) const
        -> std::optional<state::time_point>;

    /// The same for any instance, as far as can be told.
    auto next_turn_at(const pool_query& query, state::time_point now) const
        -> std::optional<state::time_point>;

    /// Records a request that no endpoint may get for want of a permit.
    auto record_unmet(const pool_query& query, state::time_point now) -> void;

    /// Whether some endpoint takes no request right now for all that it or its entry states.
    auto has_limits() const -> bool { return has_stated_limits() || !cold_.is_empty(); }

    /// Whether some endpoint has stated how much it takes, or that it takes nothing for a while.
    auto has_stated_limits() const -> bool
    {
        return !pauses_.is_empty() || !limits_.is_empty() || !brittle_.is_empty();
    }

    auto find(const state::endpoint_id& id) const -> const state::registered_endpoint*;

    /// The versions of the endpoints that accept new requests, the earliest registered first.
    auto versions_of(const state::service_name& service) const -> std::vector<state::version_name>;

    /// Records that a request was sent to the endpoint. `work` is its expected time to first byte there
    /// without queueing.
    auto begin(const state::endpoint_id& id, state::duration work, state::time_point now) -> void;
    /// Removes the work from the endpoint's queue: the response headers have arrived, or the attempt has
    /// ended.
    auto settle(const state::endpoint_id& id, state::duration work) -> void;
    /// Records that a request is no longer in flight.
    auto end(const state::endpoint_id& id) -> void;

    /// The work that this router has queued at each endpoint.
    auto own_work() const -> std::vector<endpoint_work>;
    /// Replaces the work that the other routers have queued at the endpoints.
    auto set_remote_work(const std::vector<endpoint_work>& work) -> void;

    /// How long each endpoint takes in comparison with the others. As long as nothing is recorded there, all
    /// count alike.
    auto paces() -> endpoint_paces& { return paces_; }

    auto paces() const -> const endpoint_paces& { return paces_; }

    /// Records a time to first byte as a fraction of its latency objective.
    auto record_first_byte(const state::endpoint_id& id, double objective_ratio, state::time_point now)
        -> void;

    /// Records an attempt that succeeded, or whose failure the endpoint did not cause.
    auto mark_succeeded(const state::endpoint_id& id) -> void;

    /// Records a failure. Consecutive failures eject the endpoint, for longer each time.
    auto mark_failed(const state::endpoint_id& id, state::time_point now) -> void;

    /// Records that the endpoint cannot be reached. It gets no requests until a connection was opened, unless
    /// there is no other.
    auto mark_unreachable(const state::endpoint_id& id, state::time_point now) -> void;

    /// Records that bytes of an answer came from the endpoint. An accepted connection is no evidence that it
    /// is reached, since proxies and balancers accept connections on behalf of hosts.
    auto mark_reached(const state::endpoint_id& id, state::time_point now) -> void;

    auto is_unreachable(const state::endpoint_id& id) const -> bool;

    /// Lets take_probes() return the endpoint next time.
    auto check_soon(const state::endpoint_id& id) -> void;

    /// The same, unless the endpoint is out of reach or was probed a moment ago.
    auto check_if_due(const state::endpoint_id& id, state::time_point now) -> void;

    /// When bytes of an answer last came from the endpoint, and from any endpoint of the service.
    auto heard_at(const state::endpoint_id& id) const -> state::time_point;
    auto heard_at(const state::service_name& service) const -> state::time_point;

    /// The services of all endpoints.
    auto services() const -> std::set<state::service_name>;

    /// Whether this instance seems to have lost its links to the service's endpoints, rather than one of them
    /// to have failed: several became unreachable and none has been reached since.
    auto is_cut_off(const state::service_name& service) const -> bool;

    /// How many other endpoints became unreachable at about the time at which this one failed.
    auto lost_beside(const state::endpoint_id& id, state::time_point failed_at) const -> std::ptrdiff_t;

    /// Whether endpoints became unreachable and no other one of their service has been reached since.
    auto has_lost_endpoints() const -> bool { return !lost_.empty(); }

    /// The endpoints from which an answer should be asked for now: those that were unreachable for a while,
    /// and some others of a service of which one was lost a moment ago. Records them as tried.
    auto take_probes(state::time_point now, std::uint64_t random) -> std::vector<state::endpoint_id>;

    /// Records that the endpoint refused a request because it was full, and ejects it briefly.
    auto mark_full(const state::endpoint_id& id, state::time_point now) -> void;

    /// Records that the endpoint announced its shutdown. It gets no new requests until it registers again.
    /// Returns the announcement for the other instances if it was unknown.
    auto mark_leaving(const state::endpoint_id& id, state::time_point now) -> std::optional<leaving_endpoint>;

    /// Records an announcement that another instance received.
    auto record_remote_leaving(const leaving_endpoint& leaving, state::time_point now) -> void
    {
        leaving_.add(leaving, now);
    }

    /// Which endpoints still have the address that they registered. Others get no requests.
    auto identities() -> endpoint_identities& { return identities_; }

    /// The endpoints that asked this instance to send them nothing for a time.
    auto pauses() -> endpoint_pauses& { return pauses_; }

    /// Sets all instances that send requests to the endpoints, this one included.
    auto set_instances(const state::instance_id& own, std::vector<state::instance_id> all,
                       state::time_point now) -> void
    {
        brittle_.set_instance_count(all.size());
        cold_.set_instances(own, all, now);
        limits_.set_instances(own, std::move(all), now);
    }

    /// The limits on requests that endpoints name.
    auto limits() -> endpoint_limits& { return limits_; }

    auto limits() const -> const endpoint_limits& { return limits_; }

    /// The endpoints that fail when they have to turn away requests.
    auto brittle() -> brittle_endpoints& { return brittle_; }

    /// The endpoints that bear less than usual after a start.
    auto cold() -> cold_endpoints& { return cold_; }

    auto cold() const -> const cold_endpoints& { return cold_; }

    /// The permits for an endpoint's turns, whether it names a limit or is cold.
    auto permits_of(const state::endpoint_id& id) -> endpoint_limits&;

    /// Sets the data centres whose endpoints are to get nothing. Requests that run there go on.
    auto set_emptied(std::set<state::data_centre_id> data_centres) -> void
    {
        emptied_ = std::move(data_centres);
    }

    auto emptied() const -> const std::set<state::data_centre_id>& { return emptied_; }

    /// Whether the endpoint is to get nothing, not even a probe.
    auto is_emptied(const state::registered_endpoint& endpoint) const -> bool
    {
        return emptied_.contains(endpoint.data_centre_);
    }

    /// The listed endpoints of a data centre.
    auto endpoints_in(const state::data_centre_id& data_centre) const
        -> std::vector<const state::registered_endpoint*>;

    /// This router's requests that still run at endpoints of data centres that are being emptied.
    auto in_flight_at_emptied() const -> std::size_t;

    auto forget_old(state::time_point now) -> void
    {
        cold_.advance(now);
        leaving_.forget_old(now);
        pauses_.forget_old(now);
        limits_.forget_old(now);
        brittle_.forget_old(now);
    }

    /// Whether the endpoint is left out for a while after failures or because it was full.
    auto is_ejected(const state::endpoint_id& id, state::time_point now) const -> bool;

    auto in_flight(const state::service_name& service) const -> std::int32_t;

private:
    struct entry {
        state::registered_endpoint endpoint_;
        bool is_listed_{true};
        std::int32_t own_in_flight_{0};
        state::duration own_pending_{0};
        state::duration remote_pending_{0};
        std::int32_t consecutive_failures_{0};
        state::time_point ejected_until_{};
        bool is_unreachable_{false};
        state::time_point lost_at_{};
        /// When the endpoint was last reached or probed.
        state::time_point checked_at_{};
        state::time_point heard_at_{};
        state::time_point probed_at_{};
        bool must_be_checked_{false};
        /// Moving average of the time to first byte as of `last_sample_at_`, as a fraction of the latency
        /// objective.
        double objective_ratio_{0};
        state::time_point last_sample_at_{};
    };

    /// The endpoints of a service to probe after the loss of another one.
    struct sibling_probe_plan {
        std::size_t left_{0};
        /// Where the lost one is.
        state::data_centre_id data_centre_;
    };

    static auto decayed_objective_ratio(const entry& known, state::time_point now) -> double;
    /// The time until an average endpoint would start on a new request.
    static auto queueing_delay(const entry& known, const pool_query& query) -> state::duration;
    /// The choice of an endpoint that has to read the shared prefix for some time, or not.
    auto make_choice(const entry& known, const pool_query& query, state::duration cache_miss_time) const
        -> pool_choice;
    /// The endpoint with the least load, for requests without affinity.
    auto least_loaded(const std::vector<const entry*>& usable, const pool_query& query, state::time_point now,
                      std::uint64_t random) const -> const entry*;
    /// The preferred endpoint of the affinity key, or another one where the lower delay is worth the cache
    /// miss.
    ///
    /// Load pattern: hundreds of endpoints in several data centres, and short prefixes, which take less time
    /// to read again than the bytes between data centres are worth.
    auto choose_by_affinity(const std::vector<const entry*>& usable, const pool_query& query,
                            state::time_point now) const -> pool_choice;
    /// Endpoints with a higher objective ratio than this rank behind the others.
    static auto max_objective_ratio(const std::vector<const entry*>& usable, state::time_point now) -> double;

    /// Sorts the endpoints to probe: at random, by turns from the lost one's data centre and from the others,
    /// so that the loss of a data centre is told from the loss of the own links.
    auto sort_siblings(std::vector<entry*>& siblings, std::uint64_t random) const -> void;
    auto is_candidate(const entry& known, const pool_query& query) const -> bool;
    /// When this instance may send the endpoint a new request, by what the endpoint has stated.
    auto next_request_at(const entry& known, state::time_point now) const -> state::time_point;
    /// The endpoint among these that should show whether its limit still holds, if any.
    auto due_for_check(const std::vector<const entry*>& usable, const pool_query& query,
                       state::time_point now) const -> const entry*;
    auto candidates(const pool_query& query) const -> std::vector<const entry*>;
    /// Whether the endpoint is left out for now.
    static auto is_ejected(const entry& known, state::time_point now) -> bool;
    auto drop_unused() -> void;

    /// Whether a request that is to avoid cold endpoints would meet one.
    auto is_avoided(const entry& known, const pool_query& query, state::time_point now) const -> bool
    {
        return query.avoids_cold_ && cold_.is_cold(known.endpoint_, now);
    }

    auto find_entry(const state::endpoint_id& id) -> entry*;

    std::map<state::endpoint_id, entry> entries_;
    /// The endpoints of a service that became unreachable since one of them was last reached.
    std::map<state::service_name, std::set<state::endpoint_id>> lost_;

    /// What is left to probe after the loss of an endpoint.
    std::map<state::service_name, sibling_probe_plan> sibling_probes_;
    std::map<state::service_name, state::time_point> services_heard_at_;
    endpoint_identities identities_;
    leaving_endpoints leaving_;
    endpoint_pauses pauses_;
    endpoint_limits limits_;
    brittle_endpoints brittle_;
    cold_endpoints cold_;
    endpoint_paces paces_;
    std::set<state::data_centre_id> emptied_;
};

} // namespace buckthorndale::coordination::forwarding
