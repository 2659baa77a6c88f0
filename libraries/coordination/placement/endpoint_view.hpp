#pragma once

#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <set>

/// Chooses the endpoint that a request is dispatched to.
namespace buckthorndale::coordination::placement {

/// The state of an endpoint as observed by one router.
struct endpoint_view {
    static constexpr auto unlimited = std::numeric_limits<std::int32_t>::max();

    state::endpoint endpoint_;
    bool is_listed_{true};
    bool has_announced_leaving_{false};
    /// Requests of this router that the endpoint holds.
    std::int32_t own_in_flight_{0};
    std::int32_t suspects_in_flight_{0};
    /// Requests of all routers, as reported by the endpoint.
    std::int32_t reported_running_{0};
    /// This router's own requests in flight at the time of the report.
    std::int32_t own_in_flight_at_report_{0};
    state::time_point reported_at_;
    std::int32_t failures_in_a_row_{0};
    std::int32_t declines_in_a_row_{0};
    /// The limit on concurrent requests of this router, in force after the endpoint declined one.
    std::int32_t window_{unlimited};
    state::time_point ejected_until_;
    /// Versions that are listed for the endpoint but that it turned out not to serve.
    std::set<state::version_key> missing_versions_;
    /// Prefixes of recent requests of this router to the endpoint, newest last.
    std::deque<state::content_fingerprint> recent_prefixes_;
};

} // namespace buckthorndale::coordination::placement
