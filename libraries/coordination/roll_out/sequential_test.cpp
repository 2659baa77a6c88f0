#include "coordination/roll_out/sequential_test.hpp"

#include "coordination/roll_out/bad_rate.hpp"

#include <algorithm>
#include <cmath>

namespace buckthorndale::coordination::roll_out {

namespace {

constexpr auto min_rate = 0.005;
constexpr auto max_rate = 0.95;

auto rate_of(const evidence& counts) -> double
{
    const auto rate = expected_bad_rate(static_cast<double>(counts.good_), static_cast<double>(counts.bad_));
    return std::clamp(rate, min_rate, max_rate);
}

auto degraded_rate(double base_rate, double degradation) -> double
{
    return std::min(base_rate + degradation, max_rate + 0.02);
}

} // namespace

auto settings_for(state::roll_out_emphasis emphasis) -> sequential_test_settings
{
    if (emphasis == state::roll_out_emphasis::exposure)
        return {.min_degradation_ = 0.08, .false_halt_rate_ = 0.04, .false_pass_rate_ = 0.005};
    return {.min_degradation_ = 0.12, .false_halt_rate_ = 0.01, .false_pass_rate_ = 0.01};
}

auto judge(const evidence& base, const evidence& candidate, const sequential_test_settings& settings)
    -> sequential_test_verdict
{
    const auto base_rate = rate_of(base);
    const auto worse_rate = degraded_rate(base_rate, settings.min_degradation_);
    const auto log_ratio =
        static_cast<double>(candidate.bad_) * std::log(worse_rate / base_rate) +
        static_cast<double>(candidate.good_) * std::log((1 - worse_rate) / (1 - base_rate));
    if (log_ratio >= std::log((1 - settings.false_pass_rate_) / settings.false_halt_rate_))
        return sequential_test_verdict::worse;
    if (log_ratio <= std::log(settings.false_pass_rate_ / (1 - settings.false_halt_rate_)))
        return sequential_test_verdict::no_worse;
    return sequential_test_verdict::undecided;
}

auto expected_sample_size(double base_rate, double degradation, const sequential_test_settings& settings)
    -> double
{
    const auto true_rate = std::min(base_rate + degradation, 1.0);
    const auto worse_rate = degraded_rate(base_rate, settings.min_degradation_);
    const auto per_answer = true_rate * std::log(worse_rate / base_rate) +
                            (1 - true_rate) * std::log((1 - worse_rate) / (1 - base_rate));
    const auto upper = std::log((1 - settings.false_pass_rate_) / settings.false_halt_rate_);
    const auto lower = std::log(settings.false_pass_rate_ / (1 - settings.false_halt_rate_));
    return ((1 - settings.false_pass_rate_) * upper + settings.false_pass_rate_ * lower) / per_answer;
}

} // namespace buckthorndale::coordination::roll_out
