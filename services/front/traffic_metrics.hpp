#pragma once

#include "coordination/forwarding/endpoint_counts.hpp"
#include "front/store_gauge.hpp"
#include "state/error.hpp"
#include "state/units.hpp"
#include "transport/http/server_counts.hpp"

#include <boost/histogram.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace buckthorndale::services::front {

/// What the network worker holds at one moment.
struct network_load {
    std::size_t calls_{0};
    /// Calls whose answers are being streamed.
    std::size_t streaming_calls_{0};
    /// Calls that the decision worker has finished or refused and whose last bytes are not yet written.
    std::size_t decided_calls_{0};
    /// Undecided calls that the decision worker does not know. More than zero for longer than events take
    /// between the workers means that calls were forgotten.
    std::size_t unknown_calls_{0};
    std::size_t attempts_{0};
    /// The endpoints that are not like the others.
    coordination::forwarding::endpoint_counts endpoints_;
    transport::http::server_counts callers_;
    /// How long ago the store confirmed each kind of objects that was ever confirmed.
    std::map<object_kind, state::duration> store_ages_;
};

/// Counters and latency histograms of the network worker, rendered in the Prometheus text format.
class traffic_metrics {
public:
    traffic_metrics();

    auto record_first_event(state::duration since_arrival) -> void;
    auto record_answer(state::duration since_arrival) -> void;

    auto record_refusal(state::error_kind kind) -> void { ++refusals_[kind]; }

    auto record_attempt() -> void { ++attempts_; }

    /// Records a request that is passed on to another instance.
    auto record_relay() -> void { ++relays_; }

    auto page(const network_load& load) const -> std::string;

private:
    using axis_type = boost::histogram::axis::variable<double>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    histogram_type first_event_;
    histogram_type complete_answer_;
    std::uint64_t attempts_{0};
    std::uint64_t relays_{0};
    std::map<state::error_kind, std::uint64_t> refusals_;
};

} // namespace buckthorndale::services::front
