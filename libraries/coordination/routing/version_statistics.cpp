#include "coordination/routing/version_statistics.hpp"

namespace buckthorndale::coordination::routing {

namespace {

/// The weight of the newest answer in the exponential moving averages.
constexpr auto smoothing_factor = 0.05;
constexpr auto default_tokens = 100.0;
constexpr auto default_time = state::duration{std::chrono::seconds{1}};

auto updated_mean(double mean, double value) -> double
{
    return mean + smoothing_factor * (value - mean);
}

} // namespace

auto version_statistics::record(const state::version_key& version, state::token_count tokens,
                                state::duration elapsed) -> void
{
    const auto token_value = static_cast<double>(tokens.value());
    const auto time_value = static_cast<double>(elapsed.count());
    const auto [place, is_new] =
        means_.try_emplace(version, means{.tokens_ = token_value, .microseconds_ = time_value});
    if (is_new)
        return;
    auto& known = place->second;
    known.tokens_ = updated_mean(known.tokens_, token_value);
    known.microseconds_ = updated_mean(known.microseconds_, time_value);
}

auto version_statistics::mean_tokens(const state::version_key& version) const -> double
{
    const auto found = means_.find(version);
    return found == means_.end() ? average().tokens_ : found->second.tokens_;
}

auto version_statistics::mean_time(const state::version_key& version) const -> state::duration
{
    const auto found = means_.find(version);
    const auto known = found == means_.end() ? average() : found->second;
    return state::duration{static_cast<state::duration::rep>(known.microseconds_)};
}

auto version_statistics::average() const -> means
{
    if (means_.empty())
        return {.tokens_ = default_tokens, .microseconds_ = static_cast<double>(default_time.count())};
    auto sum = means{};
    for (const auto& [version, known] : means_) {
        sum.tokens_ += known.tokens_;
        sum.microseconds_ += known.microseconds_;
    }
    const auto count = static_cast<double>(means_.size());
    return {.tokens_ = sum.tokens_ / count, .microseconds_ = sum.microseconds_ / count};
}

} // namespace buckthorndale::coordination::routing
