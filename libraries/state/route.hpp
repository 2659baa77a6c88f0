#pragma once

#include "state/identifiers.hpp"
#include "state/request_kind.hpp"
#include "state/units.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace buckthorndale::state {

/// One of the services that share a route's requests.
struct route_target {
    service_name service_;
    std::int32_t weight_{1};

    auto operator==(const route_target&) const -> bool = default;
};

/// The targets and the handling of requests for one host and path prefix.
struct route {
    std::string name_;
    std::string host_;
    /// Begins and ends with a slash.
    std::string path_prefix_;
    request_kind kind_{request_kind::non_idempotent};
    /// The maximum time that a request may take.
    duration time_limit_{std::chrono::seconds{30}};
    /// The maximum time to the answer, or to a stream's first event, that still earns full credit.
    duration latency_objective_{std::chrono::seconds{1}};
    /// The maximum time between events that still earns full credit.
    duration gap_objective_{std::chrono::seconds{1}};
    /// 0 is the most urgent.
    std::int32_t priority_{5};
    std::int32_t max_attempts_{1};
    /// Whether callers need no key.
    bool is_anonymous_{false};
    /// Whether an interrupted stream may be resumed at another endpoint.
    bool is_resumable_{false};
    /// Models that may answer, the smallest first; empty if the caller chooses the model.
    std::vector<model_name> models_;
    std::vector<route_target> targets_;

    /// Whether a request can safely be run again.
    auto is_repeatable() const -> bool
    {
        return kind_ == request_kind::safe || (kind_ == request_kind::stream && is_resumable_);
    }
};

} // namespace buckthorndale::state
