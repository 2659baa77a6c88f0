#pragma once

#include "state/identifiers.hpp"
#include "state/units.hpp"

#include <algorithm>
#include <cstddef>

namespace buckthorndale::coordination::forwarding {

/// The work that routers have queued at an endpoint: the summed times to first byte of the requests that
/// still wait for their response headers.
struct endpoint_work {
    /// Reports arrive four times a second; the requests in older ones than this have finished by now.
    static constexpr state::duration max_report_age{std::chrono::milliseconds{1000}};
    /// Keeps a report to all routers within half a kilobyte, however many endpoints there are.
    static constexpr std::size_t max_reported_endpoints{24};

    state::endpoint_id endpoint_;
    state::duration pending_{0};

    auto add(const endpoint_work& other) -> void { pending_ += other.pending_; }

    auto subtract(const endpoint_work& other) -> void { pending_ -= std::min(pending_, other.pending_); }

    auto is_empty() const -> bool { return pending_ <= state::duration::zero(); }

    /// What is reported first when there is no room for all.
    auto weight() const -> double { return static_cast<double>(pending_.count()); }

    auto operator==(const endpoint_work&) const -> bool = default;
};

} // namespace buckthorndale::coordination::forwarding
