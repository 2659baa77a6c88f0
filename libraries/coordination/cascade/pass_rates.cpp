#include "coordination/cascade/pass_rates.hpp"

namespace buckthorndale::coordination::cascade {

auto pass_rates::record(const pass_rate_key& key, bool has_passed) -> void
{
    if (entries_.size() >= max_entries && !entries_.contains(key))
        entries_.erase(entries_.begin());
    auto& known = entries_[key];
    known.passed_ = known.passed_ * decay_factor + (has_passed ? 1.0 : 0.0);
    known.failed_ = known.failed_ * decay_factor + (has_passed ? 0.0 : 1.0);
}

auto pass_rates::estimate(const pass_rate_key& key, state::permille prior) const -> double
{
    const auto prior_rate = static_cast<double>(prior.value()) / state::full_share.value();
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return prior_rate;
    const auto& known = found->second;
    return (known.passed_ + prior_rate * prior_weight) / (known.passed_ + known.failed_ + prior_weight);
}

} // namespace buckthorndale::coordination::cascade
