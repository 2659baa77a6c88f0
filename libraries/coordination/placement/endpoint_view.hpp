#pragma once

#include "state/endpoint.hpp"
#include "state/identifiers.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <cstdint>
#include <deque>
#include <limits>
#include <set>

/// Which endpoint a request is given to.
namespace buckthorndale::coordination::placement {

/// An endpoint as one router sees it.
struct endpoint_view {
    static constexpr auto unlimited = std::numeric_limits<std::int32_t>::max();

    state::endpoint endpoint_;
    bool is_listed_{true};
    bool has_announced_leaving_{false};
    /// Requests of this router that the endpoint holds now.
    std::int32_t own_in_flight_{0};
    std::int32_t suspects_in_flight_{0};
    /// Requests that the endpoint reported, of all routers.
    std::int32_t reported_running_{0};
    /// This router's own part of the reported number, as of the report.
    std::int32_t own_in_flight_at_report_{0};
    state::time_point reported_at_;
    std::int32_t failures_in_a_row_{0};
    std::int32_t declines_in_a_row_{0};
    /// Requests of this router that may be there at once, once the endpoint declined one.
    std::int32_t window_{unlimited};
    state::time_point ejected_until_;
    /// Versions that are listed for it but that it did not serve when asked.
    std::set<state::version_key> missing_versions_;
    /// Prefixes that this router gave to it lately, newest last.
    std::deque<state::content_fingerprint> recent_prefixes_;
};

} // namespace buckthorndale::coordination::placement
