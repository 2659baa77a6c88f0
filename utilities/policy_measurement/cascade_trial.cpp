#include "policy_measurement/cascade_trial.hpp"

#include "coordination/cascade/cascade_planner.hpp"
#include "state/version_key.hpp"

#include <array>
#include <chrono>

namespace buckthorndale::utilities::policy_measurement {

namespace {

using coordination::cascade::cascade_step;
using coordination::cascade::pass_rate_key;
using coordination::cascade::pass_rates;
using coordination::time::seeded_random;

constexpr auto time_left = state::duration{std::chrono::seconds{30}};
constexpr auto step_time = state::duration{std::chrono::seconds{1}};

/// What a request's answers would be worth, which only the oracle knows in advance.
struct true_quality {
    bool is_cheap_good_{false};
    bool is_dear_good_{false};
};

struct trial {
    const cascade_model& model_;
    seeded_random random_{0};
    pass_rates rates_;
    double cost_{0};
    int good_{0};
};

auto choose_kind(trial& state) -> const request_kind&
{
    auto point = state.random_.unit();
    for (const auto& kind : state.model_.kinds_) {
        point -= kind.share_;
        if (point < 0)
            return kind;
    }
    return state.model_.kinds_.back();
}

auto key_of(const request_kind& kind, const std::string& version) -> pass_rate_key
{
    return {.workspace_ = state::workspace_id{"w"},
            .request_type_ = kind.name_,
            .version_ = state::version_key_from_text(version)};
}

auto starts_cheap(const trial& state, const request_kind& kind) -> bool
{
    constexpr auto cheap_prior = state::permille{700};
    const auto steps = std::array{
        cascade_step{.expected_cost_ = state.model_.cheap_cost_,
                     .expected_time_ = step_time,
                     .pass_rate_ = state.rates_.estimate(key_of(kind, "small@1"), cheap_prior)},
        cascade_step{.expected_cost_ = state.model_.dear_cost_, .expected_time_ = step_time, .pass_rate_ = 1},
    };
    return coordination::cascade::plan_cascade(steps, time_left)->step_ == 0;
}

/// Whether the rating says that the answer is good.
auto rate(trial& state, bool is_good) -> bool
{
    return state.random_.chance(state.model_.rating_error_) ? !is_good : is_good;
}

auto answer_dear(trial& state, const true_quality& quality) -> void
{
    state.cost_ += state.model_.dear_cost_;
    state.good_ += quality.is_dear_good_ ? 1 : 0;
}

auto answer_cheap_first(trial& state, const request_kind& kind, const true_quality& quality) -> void
{
    state.cost_ += state.model_.cheap_cost_;
    const auto has_passed = rate(state, quality.is_cheap_good_);
    state.rates_.record(key_of(kind, "small@1"), has_passed);
    if (has_passed)
        state.good_ += quality.is_cheap_good_ ? 1 : 0;
    else
        answer_dear(state, quality);
}

auto answer(trial& state, cascade_policy policy) -> void
{
    const auto& kind = choose_kind(state);
    const auto quality = true_quality{.is_cheap_good_ = state.random_.chance(kind.cheap_pass_rate_),
                                      .is_dear_good_ = state.random_.chance(kind.dear_pass_rate_)};
    switch (policy) {
    case cascade_policy::always_dearest:
        answer_dear(state, quality);
        return;
    case cascade_policy::always_cheapest:
        state.cost_ += state.model_.cheap_cost_;
        state.good_ += quality.is_cheap_good_ ? 1 : 0;
        return;
    case cascade_policy::static_cascade:
        answer_cheap_first(state, kind, quality);
        return;
    case cascade_policy::oracle:
        if (!quality.is_cheap_good_) {
            answer_dear(state, quality);
            return;
        }
        state.cost_ += state.model_.cheap_cost_;
        ++state.good_;
        return;
    case cascade_policy::planned:
        if (starts_cheap(state, kind))
            answer_cheap_first(state, kind, quality);
        else
            answer_dear(state, quality);
        return;
    }
}

} // namespace

auto to_string(cascade_policy policy) -> std::string
{
    switch (policy) {
    case cascade_policy::planned:
        return "planned (shipped)";
    case cascade_policy::always_dearest:
        return "always dearest";
    case cascade_policy::always_cheapest:
        return "always cheapest";
    case cascade_policy::static_cascade:
        return "static cascade";
    case cascade_policy::oracle:
        return "oracle (bound)";
    }
    return "unnamed";
}

auto cascade_models() -> std::vector<cascade_model>
{
    return {
        {.name_ = "register",
         .kinds_ = {{.name_ = "lookup", .share_ = 0.5, .cheap_pass_rate_ = 0.92, .dear_pass_rate_ = 0.98},
                    {.name_ = "summary", .share_ = 0.35, .cheap_pass_rate_ = 0.65, .dear_pass_rate_ = 0.96},
                    {.name_ = "closure", .share_ = 0.15, .cheap_pass_rate_ = 0.03, .dear_pass_rate_ = 0.95}}},
        {.name_ = "sizing",
         .kinds_ = {{.name_ = "frame", .share_ = 0.7, .cheap_pass_rate_ = 0.85, .dear_pass_rate_ = 0.97},
                    {.name_ = "fitting", .share_ = 0.3, .cheap_pass_rate_ = 0.2, .dear_pass_rate_ = 0.95}},
         .cheap_cost_ = 3,
         .dear_cost_ = 12},
    };
}

auto run_cascade(const cascade_model& model, cascade_policy policy, std::uint64_t seed, int requests)
    -> cascade_result
{
    auto state = trial{.model_ = model, .random_ = seeded_random{seed}};
    for (auto request = 0; request < requests; ++request)
        answer(state, policy);
    return {.cost_ = state.cost_ / requests, .good_ = static_cast<double>(state.good_) / requests};
}

} // namespace buckthorndale::utilities::policy_measurement
