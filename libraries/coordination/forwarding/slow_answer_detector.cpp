#include "coordination/forwarding/slow_answer_detector.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

/// A bad version is several times slower; an engine under full load is less than twice as slow.
constexpr auto slow_factor = 3.5;
constexpr auto min_samples = 8;
/// Minimum weight of a new sample in the mean. The first samples have the weight 1/n.
constexpr auto min_sample_weight = 0.05;

} // namespace

auto slow_answer_detector::record(const std::string& route, const state::model_name& model,
                                  state::duration time) -> void
{
    auto& known = baselines_[{route, model}];
    ++known.samples_;
    const auto weight = std::max(min_sample_weight, 1.0 / static_cast<double>(known.samples_));
    known.mean_us_ += weight * (static_cast<double>(time.count()) - known.mean_us_);
}

auto slow_answer_detector::is_slow(const std::string& route, const state::model_name& model,
                                   state::duration time) const -> bool
{
    const auto found = baselines_.find({route, model});
    if (found == baselines_.end() || found->second.samples_ < min_samples)
        return false;
    return static_cast<double>(time.count()) > slow_factor * found->second.mean_us_;
}

} // namespace buckthorndale::coordination::forwarding
