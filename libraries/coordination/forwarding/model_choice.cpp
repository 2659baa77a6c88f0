#include "coordination/forwarding/model_choice.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

/// Below this confidence the answer of a smaller model is usually too poor for its request.
constexpr auto least_confidence = 50;
/// An answer is given out when this part of the latency objective has passed: another one would be late.
constexpr auto latest_part = 0.6;

/// An answer that would begin after this part of the objective is likely to be late, and as long a prompt
/// keeps its endpoint from others.
constexpr auto latest_begin_part = 0.9;

/// The endpoints of the users' deployments read 51 tokens a millisecond, three times as slowly with their
/// largest model and three times as fast with their smallest (platform sheets of both sites).
constexpr auto pace_of_largest = std::chrono::nanoseconds{60'000};
constexpr auto pace_of_smaller = std::chrono::nanoseconds{6'000};

} // namespace

auto first_model(const state::route& route) -> state::model_name
{
    return route.models_.front();
}

auto unknown_pace(const state::route& route, const state::model_name& model) -> std::chrono::nanoseconds
{
    if (route.models_.empty())
        return std::chrono::nanoseconds::zero();
    return model == route.models_.back() ? pace_of_largest : pace_of_smaller;
}

auto better_model(const state::route& route, const state::model_name& current, const escalation_query& query)
    -> std::optional<state::model_name>
{
    const auto& largest = route.models_.back();
    if (current == largest || query.confidence_ >= least_confidence || query.attempts_left_ <= 0)
        return std::nullopt;
    const auto latest = std::chrono::duration<double>(route.latency_objective_) * latest_part;
    if (std::chrono::duration<double>(query.since_arrival_) > latest)
        return std::nullopt;
    const auto begins =
        std::chrono::duration<double>(query.since_arrival_) + std::chrono::duration<double>(query.expected_);
    if (begins > std::chrono::duration<double>(route.latency_objective_) * latest_begin_part)
        return std::nullopt;
    if (query.time_left_ < route.latency_objective_)
        return std::nullopt;
    return largest;
}

} // namespace buckthorndale::coordination::forwarding
