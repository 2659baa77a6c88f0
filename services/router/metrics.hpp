#pragma once

#include "coordination/routing/answer_summary.hpp"
#include "coordination/routing/refusal.hpp"
#include "state/units.hpp"
#include "state/version_key.hpp"

#include <boost/histogram.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace buckthorndale::services::router {

/// Counters and histograms of the network worker.
class metrics {
public:
    metrics();

    auto record_first_token(state::duration since_arrival) -> void;
    auto record_between_tokens(state::duration time) -> void;
    auto record_answer(const coordination::routing::answer_summary& summary, state::duration since_arrival)
        -> void;
    auto record_refusal(const coordination::routing::refusal& refusal) -> void;

    auto record_attempt() -> void { ++attempts_; }

    /// Renders the metrics in the Prometheus text format. The parameters are the current values of the
    /// gauges.
    auto render(std::size_t requests_in_flight, std::size_t connections, bool is_ready) const -> std::string;

private:
    using axis_type = boost::histogram::axis::variable<double>;
    using histogram_type = decltype(boost::histogram::make_histogram(std::declval<axis_type>()));

    static auto write_histogram(std::string& text, const std::string& name, const std::string& help,
                                const histogram_type& data, double sum) -> void;

    histogram_type first_token_times_;
    histogram_type between_token_times_;
    histogram_type answer_times_;
    double first_token_sum_{0};
    double between_tokens_sum_{0};
    double answer_time_sum_{0};
    std::uint64_t attempts_{0};
    std::uint64_t tokens_{0};
    std::map<state::version_key, std::uint64_t> answers_;
    std::map<std::string, std::uint64_t> refusals_;
};

} // namespace buckthorndale::services::router
