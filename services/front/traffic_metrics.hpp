#pragma once

#include "state/error.hpp"
#include "state/units.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace buckthorndale::services::front {

/// Counters and latency histograms of the network worker, rendered in the Prometheus text format.
class traffic_metrics {
public:
    traffic_metrics();

    auto record_first_event(state::duration since_arrival) -> void;
    auto record_answer(state::duration since_arrival) -> void;

    auto record_refusal(state::error_kind kind) -> void { ++refusals_[kind]; }

    auto record_attempt() -> void { ++attempts_; }

    auto page(std::size_t requests_inside) const -> std::string;

private:
    using axis_type = boost::histogram::axis::variable<double>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    histogram_type first_event_;
    histogram_type complete_answer_;
    std::uint64_t attempts_{0};
    std::map<state::error_kind, std::uint64_t> refusals_;
};

} // namespace buckthorndale::services::front
