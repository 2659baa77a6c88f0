#pragma once

#include "coordination/forwarding/version_choice.hpp"
#include "state/identifiers.hpp"
#include "state/listed_endpoint.hpp"
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
};

/// The endpoints as one router knows them: listed, resting after failures, and with its own requests in
/// flight.
class endpoint_pool {
public:
    /// Takes over the list. Endpoints that are missing or draining get no new work from now on.
    auto update(const std::vector<state::listed_endpoint>& endpoints) -> void;

    /// The endpoint to use; none when no endpoint of the service may take new work.
    auto choose(const pool_query& query, state::time_point now, std::uint64_t random) const
        -> std::optional<state::endpoint_id>;

    auto find(const state::endpoint_id& id) const -> const state::listed_endpoint*;

    /// The versions of the endpoints that may take new work, the longest registered first.
    auto versions_of(const state::service_name& service) const -> std::vector<state::version_name>;

    auto begin(const state::endpoint_id& id) -> void;
    auto end(const state::endpoint_id& id) -> void;

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

    /// The requests that all endpoints of a service work on at once.
    auto slots(const state::service_name& service) const -> std::int32_t;

    auto size() const -> std::size_t { return views_.size(); }

private:
    struct view {
        state::listed_endpoint endpoint_;
        bool is_listed_{true};
        bool has_said_leaving_{false};
        std::int32_t own_in_flight_{0};
        std::int32_t failures_in_a_row_{0};
        state::time_point rests_until_{};
        /// How late heads of its answers were when it was last heard of; 0 at once, 1 the whole objective.
        double pressure_{0};
        state::time_point heard_at_{};
    };

    static auto pressure_of(const view& known, state::time_point now) -> double;

    auto candidates(const pool_query& query) const -> std::vector<const view*>;
    auto drop_unused() -> void;
    auto find_view(const state::endpoint_id& id) -> view*;

    std::map<state::endpoint_id, view> views_;
};

} // namespace buckthorndale::coordination::forwarding
