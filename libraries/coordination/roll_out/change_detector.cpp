#include "coordination/roll_out/change_detector.hpp"

#include "coordination/roll_out/bad_rate.hpp"

#include <algorithm>
#include <cmath>

namespace buckthorndale::coordination::roll_out {

namespace {

constexpr auto baseline_margin_errors = 2.0;
constexpr auto min_rate = 0.01;
constexpr auto max_rate = 0.9;
constexpr auto max_degraded_rate = 0.97;

} // namespace

auto change_detector::add(const evidence& batch) -> void
{
    if (batch.total() <= 0 || has_degraded())
        return;
    pending_ += batch;
    if (baseline_good_ + baseline_bad_ < min_baseline_answers) {
        update_baseline();
        return;
    }
    const auto baseline = baseline_rate();
    for (auto index = std::size_t{0}; index < sums_.size(); ++index) {
        const auto degraded = std::min(baseline + degradations[index], max_degraded_rate);
        sums_[index] += static_cast<double>(batch.bad_) * std::log(degraded / baseline) +
                        static_cast<double>(batch.good_) * std::log((1 - degraded) / (1 - baseline));
        sums_[index] = std::max(sums_[index], 0.0);
    }
    if (largest_sum() <= 0)
        update_baseline();
}

auto change_detector::largest_sum() const -> double
{
    return std::ranges::max(sums_);
}

auto change_detector::reset() -> void
{
    sums_ = {};
    pending_ = {};
}

auto change_detector::baseline_rate() const -> double
{
    const auto rate = expected_bad_rate(baseline_good_, baseline_bad_);
    // A baseline that was estimated too low would raise false alarms permanently, so its upper confidence
    // bound is used.
    const auto error = std::sqrt(rate * (1 - rate) / (baseline_good_ + baseline_bad_ + prior_answers));
    return std::clamp(rate + baseline_margin_errors * error, min_rate, max_rate);
}

auto change_detector::update_baseline() -> void
{
    baseline_good_ += static_cast<double>(pending_.good_);
    baseline_bad_ += static_cast<double>(pending_.bad_);
    pending_ = {};
    const auto total_answers = baseline_good_ + baseline_bad_;
    if (total_answers <= max_baseline_answers)
        return;
    baseline_good_ *= max_baseline_answers / total_answers;
    baseline_bad_ *= max_baseline_answers / total_answers;
}

} // namespace buckthorndale::coordination::roll_out
