#include "router/metrics.hpp"

#include "protocol/caller/problem.hpp"
#include "state/error.hpp"

#include <boost/algorithm/string/replace.hpp>

#include <iomanip>
#include <sstream>
#include <vector>

namespace buckthorndale::services::router {

namespace {

auto to_seconds(state::duration time) -> double
{
    return std::chrono::duration<double>(time).count();
}

auto first_token_bounds() -> std::vector<double>
{
    return {0, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 1.8, 2.5, 5, 10, 30};
}

auto between_tokens_bounds() -> std::vector<double>
{
    return {0, 0.001, 0.0025, 0.005, 0.01, 0.02, 0.03, 0.04, 0.056, 0.08, 0.1, 0.25, 0.5, 1, 2};
}

auto answer_time_bounds() -> std::vector<double>
{
    return {0, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30, 60, 120};
}

auto write_header(std::string& text, const std::string& name, const std::string& help,
                  const std::string& type) -> void
{
    text.append("# HELP ").append(name).append(" ").append(help).append("\n");
    text.append("# TYPE ").append(name).append(" ").append(type).append("\n");
}

auto write_value(std::string& text, const std::string& name, std::uint64_t value) -> void
{
    text.append(name).append(" ").append(std::to_string(value)).append("\n");
}

/// Any text as the value of a label, with its quotes, as the text format escapes it.
auto label_value(const std::string& text) -> std::string
{
    auto value = std::ostringstream{};
    value << std::quoted(text);
    return boost::algorithm::replace_all_copy(value.str(), "\n", "\\n");
}

auto number_to_text(double number) -> std::string
{
    auto text = std::ostringstream{};
    text << number;
    return text.str();
}

} // namespace

metrics::metrics()
    : first_token_times_{boost::histogram::make_histogram(axis_type(first_token_bounds()))},
      between_token_times_{boost::histogram::make_histogram(axis_type(between_tokens_bounds()))},
      answer_times_{boost::histogram::make_histogram(axis_type(answer_time_bounds()))}
{}

auto metrics::record_first_token(state::duration since_arrival) -> void
{
    first_token_times_(to_seconds(since_arrival));
    first_token_sum_ += to_seconds(since_arrival);
}

auto metrics::record_between_tokens(state::duration time) -> void
{
    between_token_times_(to_seconds(time));
    between_tokens_sum_ += to_seconds(time);
}

auto metrics::record_answer(const coordination::routing::answer_summary& summary,
                            state::duration since_arrival) -> void
{
    answer_times_(to_seconds(since_arrival));
    answer_time_sum_ += to_seconds(since_arrival);
    tokens_ += static_cast<std::uint64_t>(summary.tokens_.value());
    ++answers_[summary.version_];
}

auto metrics::record_refusal(const coordination::routing::refusal& refusal) -> void
{
    const auto kind = std::string{state::to_string(refusal.kind_)};
    auto labels = std::string{"kind=\""};
    labels.append(kind).append("\",run=\"").append(protocol::caller::to_text(refusal.run_)).append("\"");
    ++refusals_[labels];
}

auto metrics::render(std::size_t requests_in_flight, std::size_t connections, bool is_ready) const
    -> std::string
{
    auto text = std::string{};
    write_histogram(text, "buckthorndale_first_token_seconds", "Time from arrival to the first token.",
                    first_token_times_, first_token_sum_);
    write_histogram(text, "buckthorndale_between_tokens_seconds", "Time between tokens.",
                    between_token_times_, between_tokens_sum_);
    write_histogram(text, "buckthorndale_answer_seconds", "Time from arrival to the answer's end.",
                    answer_times_, answer_time_sum_);
    write_header(text, "buckthorndale_answers_total", "Whole answers by the version that gave them.",
                 "counter");
    for (const auto& [version, count] : answers_)
        write_value(text, "buckthorndale_answers_total{version=" + label_value(version.text()) + "}", count);
    write_header(text, "buckthorndale_refusals_total",
                 "Refusals by kind and by whether the request may have run.", "counter");
    for (const auto& [labels, count] : refusals_)
        write_value(text, "buckthorndale_refusals_total{" + labels + "}", count);
    write_header(text, "buckthorndale_attempts_total", "Attempts given to endpoints.", "counter");
    write_value(text, "buckthorndale_attempts_total", attempts_);
    write_header(text, "buckthorndale_tokens_total", "Tokens of whole answers.", "counter");
    write_value(text, "buckthorndale_tokens_total", tokens_);
    write_header(text, "buckthorndale_requests_inside", "Requests inside the router now.", "gauge");
    write_value(text, "buckthorndale_requests_inside", requests_in_flight);
    write_header(text, "buckthorndale_connections", "Open connections of callers.", "gauge");
    write_value(text, "buckthorndale_connections", connections);
    write_header(text, "buckthorndale_ready", "1 when requests can be served.", "gauge");
    write_value(text, "buckthorndale_ready", is_ready ? 1 : 0);
    return text;
}

auto metrics::write_histogram(std::string& text, const std::string& name, const std::string& help,
                              const histogram_type& data, double sum) -> void
{
    write_header(text, name, help, "histogram");
    auto cumulative = std::uint64_t{0};
    const auto& axis = data.axis(0);
    for (auto index = 0; index < axis.size(); ++index) {
        cumulative += static_cast<std::uint64_t>(data.at(index));
        const auto bound = number_to_text(axis.bin(index).upper());
        auto bucket = name;
        bucket.append("_bucket{le=\"").append(bound).append("\"}");
        write_value(text, bucket, cumulative);
    }
    cumulative += static_cast<std::uint64_t>(data.at(axis.size()));
    write_value(text, name + "_bucket{le=\"+Inf\"}", cumulative);
    text.append(name).append("_sum ").append(number_to_text(sum)).append("\n");
    write_value(text, name + "_count", cumulative);
}

} // namespace buckthorndale::services::router
