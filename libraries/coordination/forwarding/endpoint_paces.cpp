#include "coordination/forwarding/endpoint_paces.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorndale::coordination::forwarding {

namespace {

/// An endpoint's speed may change within seconds.
constexpr auto fading_time = state::duration{std::chrono::seconds{4}};
/// Evidence of an average endpoint that stands against the first answers, so that single ones, which differ
/// by what is cached, do not move requests.
constexpr auto prior_time = state::duration{std::chrono::seconds{1}};
constexpr auto min_pace = 0.4;
constexpr auto max_pace = 4.0;
/// One answer counts no more than this many times its expected time: a silent endpoint is the concern of
/// ejection.
constexpr auto max_answer_ratio = 6;
/// A pace must pass the edge of its band by this factor before the share of keys changes.
constexpr auto band_margin = 1.1;
/// Sums below this time tell nothing.
constexpr auto min_sum = state::duration{std::chrono::milliseconds{1}};

auto scaled(state::duration time, double factor) -> state::duration
{
    return state::duration{static_cast<state::duration::rep>(static_cast<double>(time.count()) * factor)};
}

} // namespace

auto endpoint_paces::set_endpoints(const std::vector<state::registered_endpoint>& endpoints) -> void
{
    auto listed = std::map<state::endpoint_id, entry>{};
    for (const auto& endpoint : endpoints) {
        const auto found = entries_.find(endpoint.id_);
        auto& known = listed[endpoint.id_];
        if (found != entries_.end())
            known = found->second;
        known.service_ = endpoint.service_;
        known.own_.endpoint_ = endpoint.id_;
    }
    entries_ = std::move(listed);
}

auto endpoint_paces::record(const state::endpoint_id& endpoint, state::duration taken,
                            state::duration expected) -> void
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end() || expected <= state::duration::zero() || taken <= state::duration::zero())
        return;
    found->second.own_.taken_ += std::min(taken, expected * max_answer_ratio);
    found->second.own_.expected_ += expected;
}

auto endpoint_paces::fade(state::time_point now) -> void
{
    const auto age = std::chrono::duration<double>(now - std::exchange(faded_at_, now));
    const auto factor = std::exp(-age / std::chrono::duration<double>(fading_time));
    for (auto& [endpoint, known] : entries_) {
        known.own_.taken_ = scaled(known.own_.taken_, factor);
        known.own_.expected_ = scaled(known.own_.expected_, factor);
    }
}

auto endpoint_paces::common_factors() const -> std::map<state::service_name, double>
{
    auto sums = std::map<state::service_name, endpoint_pace_sums>{};
    for (const auto& [endpoint, known] : entries_) {
        sums[known.service_].add(known.own_);
        sums[known.service_].add(known.remote_);
    }
    auto factors = std::map<state::service_name, double>{};
    for (const auto& [service, sum] : sums)
        factors[service] = std::chrono::duration<double>(sum.taken_ + prior_time) /
                           std::chrono::duration<double>(sum.expected_ + prior_time);
    return factors;
}

auto endpoint_paces::refresh(const std::vector<endpoint_pace_sums>& remote, state::time_point now) -> void
{
    fade(now);
    for (auto& [endpoint, known] : entries_)
        known.remote_ = {};
    for (const auto& item : remote) {
        if (const auto found = entries_.find(item.endpoint_); found != entries_.end())
            found->second.remote_ = item;
    }
    const auto factors = common_factors();
    for (auto& [endpoint, known] : entries_) {
        const auto taken = std::chrono::duration<double>(known.own_.taken_ + known.remote_.taken_) /
                           factors.at(known.service_);
        const auto expected = std::chrono::duration<double>(known.own_.expected_ + known.remote_.expected_);
        known.pace_ = std::clamp((taken + prior_time) / (expected + prior_time), min_pace, max_pace);
        update_band(known);
    }
}

auto endpoint_paces::own_sums() const -> std::vector<endpoint_pace_sums>
{
    auto sums = std::vector<endpoint_pace_sums>{};
    for (const auto& [endpoint, known] : entries_) {
        if (known.own_.expected_ >= min_sum)
            sums.push_back(known.own_);
    }
    return sums;
}

auto endpoint_paces::pace(const state::endpoint_id& endpoint) const -> double
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end() || found->second.band_ == pace_band::average)
        return 1.0;
    return found->second.pace_;
}

auto endpoint_paces::band_of(double pace) -> pace_band
{
    constexpr auto slowest_fast = 0.8;
    constexpr auto slowest_average = 1.25;
    constexpr auto slowest_slow = 1.9;
    if (pace < slowest_fast)
        return pace_band::fast;
    if (pace < slowest_average)
        return pace_band::average;
    return pace < slowest_slow ? pace_band::slow : pace_band::very_slow;
}

auto endpoint_paces::update_band(entry& known) -> void
{
    const auto lowest = band_of(known.pace_ / band_margin);
    const auto highest = band_of(known.pace_ * band_margin);
    if (known.band_ < lowest || known.band_ > highest)
        known.band_ = band_of(known.pace_);
}

auto endpoint_paces::share(const state::endpoint_id& endpoint) const -> double
{
    const auto found = entries_.find(endpoint);
    if (found == entries_.end())
        return 1.0;
    // The middle of each band, inverted.
    switch (found->second.band_) {
    case pace_band::fast:
        return 1.6;
    case pace_band::average:
        return 1.0;
    case pace_band::slow:
        return 0.65;
    case pace_band::very_slow:
        return 0.35;
    }
    return 1.0;
}

auto endpoint_paces::count_slow() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& item) { return item.second.band_ > pace_band::average; }));
}

auto endpoint_paces::count_fast() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        entries_, [](const auto& item) { return item.second.band_ == pace_band::fast; }));
}

} // namespace buckthorndale::coordination::forwarding
