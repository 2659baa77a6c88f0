#pragma once

#include "coordination/forwarding/endpoint_work.hpp"
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

/// What a request needs of an endpoint.
struct pool_query {
    state::service_name service_;
    version_choice version_;
    /// What requests with a common beginning of their prompts share; empty when there is none.
    std::string affinity_;
    /// The router's own data centre.
    state::data_centre_id data_centre_;
    std::set<state::endpoint_id> excluded_;
    /// The time that an endpoint needs to the head of the answer while nothing waits there.
    state::duration work_{0};
    /// The part of it that goes to what requests with the same affinity share; an endpoint that has read it
    /// before is spared that.
    state::duration shared_work_{0};
};

/// Where a request should go.
struct pool_choice {
    state::endpoint_id endpoint_;
    /// The work that routers have sent there before and that waits.
    state::duration queue_{0};
    /// The time to the head of the answer, as far as can be told.
    state::duration expected_{0};
};

/// The endpoints as one router knows them: listed, resting after failures, and with its own requests in
/// flight.
class endpoint_pool {
public:
    /// Takes over the list. Endpoints that are missing or draining get no new work from now on.
    auto update(const std::vector<state::registered_endpoint>& endpoints) -> void;

    /// The endpoint to use; none when no endpoint of the service may take new work.
    auto choose(const pool_query& query, state::time_point now, std::uint64_t random) const
        -> std::optional<pool_choice>;

    auto find(const state::endpoint_id& id) const -> const state::registered_endpoint*;

    /// The versions of the endpoints that may take new work, the longest registered first.
    auto versions_of(const state::service_name& service) const -> std::vector<state::version_name>;

    /// Notes a request that goes to the endpoint, and the time that it needs there to the head of its answer.
    auto begin(const state::endpoint_id& id, state::duration work) -> void;
    /// Notes that the head has come, or that nothing waits for it any more.
    auto settle(const state::endpoint_id& id, state::duration work) -> void;
    auto end(const state::endpoint_id& id) -> void;

    /// What this router has sent to each endpoint and waits for.
    auto own_work() const -> std::vector<endpoint_work>;
    /// Takes over what the other routers have sent to the endpoints.
    auto set_others(const std::vector<endpoint_work>& work) -> void;

    /// Notes how long the head of an answer took, as a part of its latency objective.
    auto record_head(const state::endpoint_id& id, double part, state::time_point now) -> void;

    /// Notes an attempt that went well, or whose failure was not the endpoint's.
    auto mark_succeeded(const state::endpoint_id& id) -> void;

    /// Notes a failure; an endpoint that fails in a row rests, longer each time.
    auto mark_failed(const state::endpoint_id& id, state::time_point now) -> void;

    /// Notes that the endpoint cannot be reached; it rests at once.
    auto mark_unreachable(const state::endpoint_id& id, state::time_point now) -> void;

    /// Notes that the endpoint had no room.
    auto mark_full(const state::endpoint_id& id, state::time_point now) -> void;

    /// Notes that the endpoint said that it leaves, or that another one has its address.
    auto mark_leaving(const state::endpoint_id& id) -> void;

    auto in_flight(const state::service_name& service) const -> std::int32_t;

private:
    struct view {
        state::registered_endpoint endpoint_;
        bool is_listed_{true};
        bool has_said_leaving_{false};
        std::int32_t own_in_flight_{0};
        state::duration own_pending_{0};
        state::duration others_pending_{0};
        std::int32_t failures_in_a_row_{0};
        state::time_point rests_until_{};
        /// How late heads of its answers were when it was last heard of; 0 at once, 1 the whole objective.
        double pressure_{0};
        state::time_point heard_at_{};
    };

    static auto pressure_of(const view& known, state::time_point now) -> double;
    /// The time until the endpoint gets to a new request.
    static auto queue_of(const view& known, const pool_query& query) -> state::duration;
    /// The endpoint with the least load, for requests that share nothing.
    static auto least_loaded(const std::vector<const view*>& usable, const pool_query& query,
                             state::time_point now, std::uint64_t random) -> const view*;
    /// The home of what the request shares, or another one where its answer would begin sooner.
    static auto soonest_home(const std::vector<const view*>& usable, const pool_query& query,
                             state::time_point now) -> pool_choice;
    /// Above this lateness of its heads an endpoint is passed over.
    static auto pressure_bound(const std::vector<const view*>& usable, state::time_point now) -> double;

    auto candidates(const pool_query& query) const -> std::vector<const view*>;
    auto drop_unused() -> void;
    auto find_view(const state::endpoint_id& id) -> view*;

    std::map<state::endpoint_id, view> views_;
};

} // namespace buckthorndale::coordination::forwarding
