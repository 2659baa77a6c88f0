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

/// The endpoints this router knows, with what it learned of each, and the choice among them.
class endpoint_table {
public:
    /// Takes over a list of endpoints. Endpoints that are missing from it get no new work.
    /// An endpoint that said itself that it is leaving stays left, whatever a lagging list says.
    auto update(const std::vector<state::endpoint>& endpoints, state::time_point now) -> void;

    /// Takes over an endpoint's own report of the requests it holds.
    auto report_load(const state::endpoint_id& id, std::int32_t running, state::time_point now) -> void;

    /// Records that the endpoint said it is leaving.
    auto mark_leaving(const state::endpoint_id& id) -> void;

    /// Records a failure of the endpoint; it gets no new work for a time that doubles with each failure in a
    /// row.
    auto mark_failed(const state::endpoint_id& id, state::time_point now) -> void;

    /// Records that the endpoint refused work because it is full; it rests for a moment.
    auto mark_full(const state::endpoint_id& id, state::time_point now) -> void;

    /// Records that the endpoint answered with another version than the one that was asked for.
    auto mark_version_missing(const state::endpoint_id& id, const state::version_key& version) -> void;

    /// Records a request that was given to the endpoint.
    auto begin(const state::endpoint_id& id, const placement_query& query) -> void;

    /// Records that a request given by begin() has ended.
    auto end(const state::endpoint_id& id, bool was_suspect) -> void;

    /// Records that the endpoint answered whole.
    auto mark_succeeded(const state::endpoint_id& id) -> void;

    /// The endpoint with the least load that may take the request; prefix affinity counts while its load
    /// stays within a bound of the mean. Nothing when none has room.
    auto choose(const placement_query& query, state::time_point now, std::uint64_t random) const
        -> std::optional<state::endpoint_id>;

    /// Whether any endpoint, full or not, could serve the query.
    auto has_candidate(const placement_query& query, state::time_point now) const -> bool;

    auto find(const state::endpoint_id& id) const -> const endpoint_view*;

    /// The table for reports.
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
