#include "coordination/forwarding/model_choice.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

/// Below this confidence the answer of a smaller model is usually too poor for its request.
constexpr auto least_confidence = 50;
/// An answer is given out when this part of the latency objective has passed: another one would be late.
constexpr auto latest_part = 0.6;

/// Up to this pressure all answers below the confidence are asked for again; from the second one on, none.
constexpr auto calm_pressure = 0.05;
constexpr auto full_pressure = 0.3;

/// The confidence below which an answer is asked for again under a pressure.
auto wanted_confidence(double pressure) -> double
{
    const auto part = (full_pressure - pressure) / (full_pressure - calm_pressure);
    return least_confidence * std::clamp(part, 0.0, 1.0);
}

} // namespace

auto first_model(const state::route& route) -> state::model_name
{
    return route.models_.front();
}

auto better_model(const state::route& route, const state::model_name& current, const escalation_query& query)
    -> std::optional<state::model_name>
{
    const auto& largest = route.models_.back();
    if (current == largest || query.confidence_ >= wanted_confidence(query.pressure_) ||
        query.attempts_left_ <= 0)
        return std::nullopt;
    const auto latest = std::chrono::duration<double>(route.latency_objective_) * latest_part;
    if (std::chrono::duration<double>(query.since_arrival_) > latest)
        return std::nullopt;
    if (query.time_left_ < route.latency_objective_)
        return std::nullopt;
    return largest;
}

} // namespace buckthorndale::coordination::forwarding
