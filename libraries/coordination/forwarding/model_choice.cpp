#include "coordination/forwarding/model_choice.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

/// Below this confidence the answer of a smaller model is usually not good enough for its request.
constexpr auto min_confidence = 50;
/// Once this fraction of the latency objective has passed, the answer is not escalated: another one would be
/// late.
constexpr auto max_elapsed_part = 0.6;

/// An answer whose first byte is expected after this fraction of the objective is likely to be late, and a
/// prompt that takes so long delays the other requests at its endpoint.
constexpr auto max_first_byte_part = 0.9;

/// The endpoints of the users' deployments process 51 prompt tokens per millisecond, a third of that with the
/// largest model and three times that with the smallest (platform sheets of both sites).
constexpr auto largest_model_token_time = std::chrono::nanoseconds{60'000};
constexpr auto smaller_model_token_time = std::chrono::nanoseconds{6'000};

} // namespace

auto first_model(const state::route& route) -> state::model_name
{
    return route.models_.front();
}

auto unknown_model_detail(const state::model_name& model) -> std::string
{
    // Callers choose the name, and its length.
    constexpr auto max_shown_characters = std::size_t{64};
    return "The model '" + model.text().substr(0, max_shown_characters) +
           "' is not available on this route. Let the router choose the model, or name one that it has.";
}

auto default_token_time(const state::route& route, const state::model_name& model) -> std::chrono::nanoseconds
{
    if (route.models_.empty())
        return std::chrono::nanoseconds::zero();
    return model == route.models_.back() ? largest_model_token_time : smaller_model_token_time;
}

auto escalation_model(const state::route& route, const state::model_name& current,
                      const escalation_query& query) -> std::optional<state::model_name>
{
    const auto& largest = route.models_.back();
    if (current == largest || query.confidence_ >= min_confidence || query.attempts_left_ <= 0)
        return std::nullopt;
    const auto max_elapsed = std::chrono::duration<double>(route.latency_objective_) * max_elapsed_part;
    if (std::chrono::duration<double>(query.since_arrival_) > max_elapsed)
        return std::nullopt;
    const auto first_byte_time =
        std::chrono::duration<double>(query.since_arrival_) + std::chrono::duration<double>(query.expected_);
    if (first_byte_time > std::chrono::duration<double>(route.latency_objective_) * max_first_byte_part)
        return std::nullopt;
    if (query.time_left_ < route.latency_objective_)
        return std::nullopt;
    return largest;
}

} // namespace buckthorndale::coordination::forwarding
