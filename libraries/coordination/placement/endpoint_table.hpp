#pragma once

#include "coordination/placement/endpoint_view.hpp"
#include "coordination/placement/placement_query.hpp"
#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace buckthorndale::coordination::placement {

/// The endpoints known to this router with their observed state, and the load balancing among them.
class endpoint_table {
public:
    /// Replaces the list of endpoints. Endpoints that are missing from it get no new requests. An endpoint
    /// that announced itself that it is leaving stays marked, even if an outdated list shows it as live.
    auto update(const std::vector<state::endpoint>& endpoints, state::time_point now) -> void;

    /// Records the number of requests that the endpoint reports as running.
    auto report_load(const state::endpoint_id& id, std::int32_t running, state::time_point now) -> void;

    /// Records that the endpoint announced that it is leaving.
    auto mark_leaving(const state::endpoint_id& id) -> void;

    /// Records a failure of the endpoint and ejects it for a time that doubles with each consecutive failure.
    auto mark_failed(const state::endpoint_id& id, state::time_point now) -> void;

    /// Records that the endpoint declined a request because it is full, and ejects it briefly.
    auto mark_full(const state::endpoint_id& id, state::time_point now) -> void;

    /// Records that the endpoint answered with a version other than the requested one.
    auto mark_version_missing(const state::endpoint_id& id, const state::version_key& version) -> void;

    /// Records that a request was dispatched to the endpoint.
    auto begin(const state::endpoint_id& id, const placement_query& query) -> void;

    /// Records the end of a request recorded by begin().
    auto end(const state::endpoint_id& id, bool was_suspect) -> void;

    /// Records a complete answer of the endpoint.
    auto mark_succeeded(const state::endpoint_id& id) -> void;

    /// The eligible endpoint with the least load. An endpoint with prefix affinity is preferred while its
    /// load stays within a bound above the mean. Nothing if no endpoint has room.
    auto choose(const placement_query& query, state::time_point now, std::uint64_t random) const
        -> std::optional<state::endpoint_id>;

    /// Whether any endpoint, with or without room, is eligible for the query.
    auto has_candidate(const placement_query& query, state::time_point now) const -> bool;

    auto find(const state::endpoint_id& id) const -> const endpoint_view*;

    auto views() const -> const std::map<state::endpoint_id, endpoint_view>& { return views_; }

private:
    auto is_eligible(const endpoint_view& view, const placement_query& query, state::time_point now) const
        -> bool;
    auto has_room(const endpoint_view& view, state::time_point now) const -> bool;
    auto load_of(const endpoint_view& view, state::time_point now) const -> double;
    auto candidates(const placement_query& query, state::time_point now) const
        -> std::vector<const endpoint_view*>;

    std::map<state::endpoint_id, endpoint_view> views_;
};

} // namespace buckthorndale::coordination::placement
