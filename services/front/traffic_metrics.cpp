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
    for (const auto& bin : boost::histogram::indexed(data)) {
        sum += static_cast<std::uint64_t>(*bin);
        text << name << "_bucket{le=\"" << bin.bin().upper() << "\"} " << sum << "\n";
    }
    const auto overflow = static_cast<std::uint64_t>(data.at(static_cast<int>(data.axis().size())));
    text << name << "_bucket{le=\"+Inf\"} " << sum + overflow << "\n";
    text << name << "_count " << sum + overflow << "\n";
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

auto traffic_metrics::page(std::size_t requests_inside) const -> std::string
{
    auto text = std::ostringstream{};
    write_histogram(text, "buckthorndale_first_event_seconds", first_event_);
    write_histogram(text, "buckthorndale_answer_seconds", complete_answer_);
    text << "buckthorndale_attempts_total " << attempts_ << "\n";
    text << "buckthorndale_requests_inside " << requests_inside << "\n";
    for (const auto& [kind, count] : refusals_)
        text << "buckthorndale_refusals_total{kind=\"" << state::to_string(kind) << "\"} " << count << "\n";
    return text.str();
}

} // namespace buckthorndale::services::front
