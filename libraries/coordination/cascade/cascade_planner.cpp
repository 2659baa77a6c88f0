#include "coordination/cascade/cascade_planner.hpp"

#include <algorithm>
#include <vector>

namespace buckthorndale::coordination::cascade {

namespace {

/// The cost of an answer below the target, as a multiple of the most expensive version's price: high enough
/// that quality comes first, low enough that the last hundredths of quality are not bought at any price.
constexpr auto miss_cost_factor = 10.0;

/// A possible continuation: its price, its time and the probability that the final answer misses the target.
struct continuation {
    double cost_{0};
    state::duration time_{0};
    double miss_{0};
    bool may_escalate_{false};
};

/// The best continuations from one step: delivering its answer regardless of quality, and escalating.
struct step_plan {
    continuation without_escalation_;
    std::optional<continuation> with_escalation_;
};

class planner {
public:
    explicit planner(std::span<const cascade_step> steps) : steps_{steps}, plans_(steps.size())
    {
        for (const auto& step : steps)
            miss_cost_ = std::max(miss_cost_, miss_cost_factor * step.expected_cost_);
        for (auto index = steps.size(); index-- > 0;) {
            plans_[index].without_escalation_ = without_escalation(steps[index]);
            plans_[index].with_escalation_ = with_escalation(index, state::duration::max());
        }
    }

    /// The cheapest continuation from the step that ends in time, or nothing.
    auto best_plan_from(std::size_t index, state::duration time_left) const -> std::optional<continuation>
    {
        auto best = with_escalation(index, time_left);
        const auto& direct = plans_[index].without_escalation_;
        if (direct.time_ <= time_left && (!best || total_cost(direct) <= total_cost(*best)))
            best = direct;
        return best;
    }

    /// The price of a continuation plus the expected cost of missing the target; the planner minimises it.
    auto total_cost(const continuation& candidate) const -> double
    {
        return candidate.cost_ + candidate.miss_ * miss_cost_;
    }

private:
    static auto without_escalation(const cascade_step& step) -> continuation
    {
        return {.cost_ = step.expected_cost_, .time_ = step.expected_time_, .miss_ = 1.0 - step.pass_rate_};
    }

    static auto combine(const cascade_step& step, const continuation& follower) -> continuation
    {
        const auto miss = 1.0 - step.pass_rate_;
        return {.cost_ = step.expected_cost_ + miss * follower.cost_,
                .time_ = step.expected_time_ + follower.time_,
                .miss_ = miss * follower.miss_,
                .may_escalate_ = true};
    }

    auto with_escalation(std::size_t index, state::duration time_left) const -> std::optional<continuation>
    {
        auto best = std::optional<continuation>{};
        const auto consider = [&](const continuation& follower) {
            const auto candidate = combine(steps_[index], follower);
            if (candidate.time_ <= time_left && (!best || total_cost(candidate) < total_cost(*best)))
                best = candidate;
        };
        for (auto next = index + 1; next < plans_.size(); ++next) {
            consider(plans_[next].without_escalation_);
            if (plans_[next].with_escalation_)
                consider(*plans_[next].with_escalation_);
        }
        return best;
    }

    std::span<const cascade_step> steps_;
    std::vector<step_plan> plans_;
    double miss_cost_{0};
};

auto fastest_step(std::span<const cascade_step> steps) -> cascade_choice
{
    const auto fastest = std::ranges::min_element(steps, {}, &cascade_step::expected_time_);
    return {.step_ = static_cast<std::size_t>(fastest - steps.begin()),
            .may_escalate_ = false,
            .expected_cost_ = fastest->expected_cost_};
}

} // namespace

auto plan_cascade(std::span<const cascade_step> steps, state::duration time_left)
    -> std::optional<cascade_choice>
{
    if (steps.empty())
        return std::nullopt;
    const auto plans = planner{steps};
    auto best = std::optional<cascade_choice>{};
    auto lowest = 0.0;
    for (auto index = std::size_t{0}; index < steps.size(); ++index) {
        const auto candidate = plans.best_plan_from(index, time_left);
        if (!candidate || (best && plans.total_cost(*candidate) >= lowest))
            continue;
        lowest = plans.total_cost(*candidate);
        best = cascade_choice{
            .step_ = index, .may_escalate_ = candidate->may_escalate_, .expected_cost_ = candidate->cost_};
    }
    return best ? *best : fastest_step(steps);
}

} // namespace buckthorndale::coordination::cascade
