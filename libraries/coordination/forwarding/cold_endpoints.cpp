#include "coordination/forwarding/cold_endpoints.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace buckthorndale::coordination::forwarding {

namespace {

/// The part of the rate that instances use. News of a cold endpoint reaches them up to half a second apart,
/// and so do the starts from which they count turns.
constexpr auto used_part = 0.75;
/// After the cold time the rate is doubled for each of these steps, then unlimited.
constexpr auto ramp_steps = 3;
constexpr auto ramp_step_time = state::duration{std::chrono::seconds{1}};

} // namespace

auto cold_endpoints::configure(std::map<state::service_name, state::cold_start> cold_starts,
                               state::time_point now) -> void
{
    const auto before = std::exchange(cold_starts_, std::move(cold_starts));
    // The endpoints of a service may be read before its configuration.
    for (const auto& [id, seen] : seen_) {
        const auto& endpoint = seen.endpoint_;
        if (!before.contains(endpoint.service_) && cold_starts_.contains(endpoint.service_))
            set_cold(endpoint, endpoint.cold_left_.value_or(state::duration{0}) - (now - seen.seen_at_), now);
    }
}

auto cold_endpoints::record_listed(const state::registered_endpoint& endpoint, state::time_point now) -> bool
{
    const auto [found, is_unseen] = seen_.try_emplace(endpoint.id_);
    const auto& before = found->second.endpoint_;
    const auto is_started = is_unseen ? has_listing_ : before.incarnation_ != endpoint.incarnation_;
    if (!is_unseen && !is_started && before.entry_revision_ == endpoint.entry_revision_)
        return false;
    found->second = {.endpoint_ = endpoint, .seen_at_ = now};
    const auto cold_start = cold_starts_.find(endpoint.service_);
    if (cold_start == cold_starts_.end())
        return false;
    if (endpoint.cold_left_)
        return set_cold(endpoint, *endpoint.cold_left_, now);
    return is_started && set_cold(endpoint, cold_start->second.time_, now);
}

auto cold_endpoints::retain(const std::vector<state::registered_endpoint>& listed) -> void
{
    if (seen_.size() <= listed.size())
        return;
    auto ids = std::set<state::endpoint_id>{};
    for (const auto& endpoint : listed)
        ids.insert(endpoint.id_);
    std::erase_if(seen_, [&](const auto& item) { return !ids.contains(item.first); });
}

auto cold_endpoints::record_stated(const state::registered_endpoint& endpoint, state::duration left,
                                   state::time_point now) -> bool
{
    return cold_starts_.contains(endpoint.service_) && set_cold(endpoint, left, now);
}

auto cold_endpoints::assume_cold(const state::registered_endpoint& endpoint, state::time_point now) -> void
{
    const auto cold_start = cold_starts_.find(endpoint.service_);
    if (cold_start != cold_starts_.end())
        set_cold(endpoint, cold_start->second.time_, now);
}

auto cold_endpoints::set_cold(const state::registered_endpoint& endpoint, state::duration left,
                              state::time_point now) -> bool
{
    const auto was_cold = is_cold(endpoint, now);
    const auto found = entries_.find(endpoint.id_);
    if (left <= state::duration::zero() && found == entries_.end())
        return false;
    auto& known = entries_[endpoint.id_];
    if (known.endpoint_.incarnation_ != endpoint.incarnation_)
        known.rate_ = 0;
    known.endpoint_ = endpoint;
    known.cold_until_ = now + left;
    apply_rate(known, now);
    return !was_cold && left > state::duration::zero();
}

auto cold_endpoints::is_cold(const state::registered_endpoint& endpoint, state::time_point now) const -> bool
{
    const auto found = entries_.find(endpoint.id_);
    return found != entries_.end() && found->second.endpoint_.incarnation_ == endpoint.incarnation_ &&
           now < found->second.cold_until_;
}

auto cold_endpoints::rate_at(const entry& known, state::time_point now) const -> double
{
    const auto cold_start = cold_starts_.find(known.endpoint_.service_);
    if (cold_start == cold_starts_.end())
        return 0;
    const auto rate = cold_start->second.rate_ * used_part;
    if (now < known.cold_until_)
        return rate;
    const auto step = (now - known.cold_until_) / ramp_step_time + 1;
    return step > ramp_steps ? 0 : rate * static_cast<double>(1 << step);
}

auto cold_endpoints::apply_rate(entry& known, state::time_point now) -> void
{
    const auto rate = rate_at(known, now);
    if (rate == known.rate_)
        return;
    // A change right after another one is put off until the next tick.
    if (turns_.record_answer(known.endpoint_, rate, now))
        known.rate_ = rate;
}

auto cold_endpoints::advance(state::time_point now) -> void
{
    for (auto& [id, known] : entries_)
        apply_rate(known, now);
    std::erase_if(entries_,
                  [&](const auto& item) { return item.second.rate_ == 0 && rate_at(item.second, now) == 0; });
    turns_.forget_old(now);
}

auto cold_endpoints::size(state::time_point now) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(entries_, [now](const auto& item) { return now < item.second.cold_until_; }));
}

} // namespace buckthorndale::coordination::forwarding
