#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace buckthorndale::coordination::forwarding {

/// How long an endpoint took for recent answers, and how long the average endpoint would have taken. Both
/// fade with time.
struct endpoint_pace_sums {
    /// Reports arrive once a second.
    static constexpr state::duration max_report_age{std::chrono::milliseconds{3500}};
    /// Keeps a report to all routers within two kilobytes.
    static constexpr std::size_t max_reported_endpoints{48};

    state::endpoint_id endpoint_;
    state::duration taken_{0};
    state::duration expected_{0};

    auto add(const endpoint_pace_sums& other) -> void
    {
        taken_ += other.taken_;
        expected_ += other.expected_;
    }

    auto subtract(const endpoint_pace_sums& other) -> void
    {
        taken_ -= std::min(taken_, other.taken_);
        expected_ -= std::min(expected_, other.expected_);
    }

    auto is_empty() const -> bool { return expected_ <= state::duration::zero(); }

    /// The endpoints that differ most from the average are reported first when there is no room for all.
    auto weight() const -> double { return std::abs(static_cast<double>((taken_ - expected_).count())); }

    auto operator==(const endpoint_pace_sums&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding
