#include "front/traffic_metrics.hpp"

#include <sstream>
#include <vector>

namespace buckthorndale::services::front {

namespace {

/// In seconds; covers the users' latency objectives of 0.3 s to 3 s.
auto bucket_bounds() -> std::vector<double>
{
    return {0.0, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 20.0};
}

template <typename Histogram>
auto write_histogram(std::ostringstream& text, const std::string& name, const Histogram& data) -> void
{
    text << "# TYPE " << name << " histogram\n";
    auto sum = std::uint64_t{0};
    const auto& axis = data.axis();
    // By index: with the address sanitiser, g++ 12 takes Boost's range over the bins for uninitialised.
    for (auto index = 0; index < axis.size(); ++index) {
        sum += static_cast<std::uint64_t>(data.at(index));
        text << name << "_bucket{le=\"" << axis.bin(index).upper() << "\"} " << sum << "\n";
    }
    const auto overflow = static_cast<std::uint64_t>(data.at(static_cast<int>(axis.size())));
    text << name << "_bucket{le=\"+Inf\"} " << sum + overflow << "\n";
    text << name << "_count " << sum + overflow << "\n";
}

auto write_counts(std::ostringstream& text, const transport::http::server_counts& counts) -> void
{
    text << "buckthorndale_connections " << counts.open_connections_ << "\n";
    text << "buckthorndale_connections_limit " << counts.max_connections_ << "\n";
    text << "buckthorndale_connections_refused_total " << counts.refused_ << "\n";
    text << "buckthorndale_connections_refused_without_answer_total " << counts.refused_without_answer_
         << "\n";
    const auto incomplete = std::string{"buckthorndale_incomplete_answers_total{closed_by="};
    text << incomplete << "\"caller\"} " << counts.incomplete_by_caller_ << "\n";
    text << incomplete << "\"instance\"} " << counts.incomplete_by_instance_ << "\n";
    text << "buckthorndale_caller_memory_bytes " << counts.memory_.held_ << "\n";
    text << "buckthorndale_caller_memory_limit_bytes " << counts.memory_.limit_ << "\n";
    text << "buckthorndale_caller_evictions_total " << counts.memory_.evicted_ << "\n";
    text << "buckthorndale_caller_memory_refusals_total " << counts.memory_.refused_ << "\n";
}

auto seconds(state::duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

traffic_metrics::traffic_metrics()
    : first_event_{boost::histogram::make_histogram(axis_type(bucket_bounds()))},
      complete_answer_{boost::histogram::make_histogram(axis_type(bucket_bounds()))}
{}

auto traffic_metrics::record_first_event(state::duration since_arrival) -> void
{
    first_event_(seconds(since_arrival));
}

auto traffic_metrics::record_answer(state::duration since_arrival) -> void
{
    complete_answer_(seconds(since_arrival));
}

auto traffic_metrics::page(const network_load& load) const -> std::string
{
    auto text = std::ostringstream{};
    write_histogram(text, "buckthorndale_first_event_seconds", first_event_);
    write_histogram(text, "buckthorndale_answer_seconds", complete_answer_);
    text << "buckthorndale_attempts_total " << attempts_ << "\n";
    text << "buckthorndale_requests_passed_on_total " << relays_ << "\n";
    text << "buckthorndale_requests_inside " << load.calls_ << "\n";
    const auto waiting = load.calls_ - load.streaming_calls_ - load.decided_calls_;
    text << "buckthorndale_calls{state=\"waiting\"} " << waiting << "\n";
    text << "buckthorndale_calls{state=\"streaming\"} " << load.streaming_calls_ << "\n";
    text << "buckthorndale_calls{state=\"decided\"} " << load.decided_calls_ << "\n";
    text << "buckthorndale_calls_unknown_to_decisions " << load.unknown_calls_ << "\n";
    text << "buckthorndale_attempts_open " << load.attempts_ << "\n";
    text << "buckthorndale_limited_endpoints " << load.endpoints_.limited_ << "\n";
    text << "buckthorndale_cold_endpoints " << load.endpoints_.cold_ << "\n";
    text << "buckthorndale_emptied_data_centres " << load.endpoints_.emptied_data_centres_ << "\n";
    text << "buckthorndale_requests_at_emptied_data_centres " << load.endpoints_.running_at_emptied_ << "\n";
    text << "buckthorndale_slow_endpoints " << load.endpoints_.slow_ << "\n";
    text << "buckthorndale_fast_endpoints " << load.endpoints_.fast_ << "\n";
    write_counts(text, load.callers_);
    for (const auto& [kind, age] : load.store_ages_)
        text << "buckthorndale_store_confirmation_age_seconds{kind=\"" << to_string(kind) << "\"} "
             << seconds(age) << "\n";
    for (const auto& [kind, count] : refusals_)
        text << "buckthorndale_refusals_total{kind=\"" << state::to_string(kind) << "\"} " << count << "\n";
    return text.str();
}

} // namespace buckthorndale::services::front
