#include "coordination/forwarding/brittle_endpoints.hpp"

#include <algorithm>
#include <cmath>

namespace buckthorndale::coordination::forwarding {

namespace {

using seconds = std::chrono::duration<double>;

/// Endpoints count what they turn away in a second; the rest is for the time that news takes.
constexpr auto decline_window = state::duration{std::chrono::milliseconds{1050}};
/// One instance of a large fleet sends an endpoint less than one request a second.
constexpr auto rate_window = state::duration{std::chrono::seconds{3}};
constexpr auto reduction_factor = 0.7;
/// Declines closer together than this come from the same requests.
constexpr auto reduction_interval = state::duration{std::chrono::milliseconds{100}};
/// A rate that grows counts as used up to this multiple of the requests sent.
constexpr auto used_margin = 1.3;
/// The requests a second that all instances together may send in any case.
constexpr auto min_fleet_rate = 4.0;
/// With this growth for each decline a second that the endpoint bears, about a third of these happen.
constexpr auto growth_per_decline = 0.12;
constexpr auto max_growth = 1.0;
/// Load is uneven, so an instance may use a multiple of its share of an endpoint's slots.
constexpr auto max_share_factor = std::size_t{2};
/// Far above what one instance sends to one endpoint; the rate no longer matters.
constexpr auto unlimited_rate = 2000.0;
/// An endpoint that has not said for this long that it is brittle need no longer be.
constexpr auto retention_time = state::duration{std::chrono::seconds{30}};

auto drop_older(std::deque<state::time_point>& times, state::time_point limit) -> void
{
    while (!times.empty() && times.front() < limit)
        times.pop_front();
}

/// How many declines within a second stop all requests.
auto stopping_count(double max_declines) -> std::size_t
{
    return static_cast<std::size_t>(std::max(std::ceil(max_declines / 2), 1.0));
}

} // namespace

auto brittle_endpoints::find(const state::registered_endpoint& endpoint) const -> const entry*
{
    const auto found = entries_.find(endpoint.id_);
    const auto is_same_run = found != entries_.end() && found->second.incarnation_ == endpoint.incarnation_;
    return is_same_run ? &found->second : nullptr;
}

auto brittle_endpoints::record_listed(const state::registered_endpoint& endpoint, state::time_point now,
                                      double draw) -> void
{
    if (!services_.contains(endpoint.service_) || find(endpoint) != nullptr)
        return;
    auto rates = 0.0;
    auto count = 0;
    auto added = entry{.service_ = endpoint.service_, .incarnation_ = endpoint.incarnation_, .seen_at_ = now};
    for (const auto& [id, known] : entries_) {
        if (known.service_ != endpoint.service_ || known.max_declines_ <= 0)
            continue;
        added.max_declines_ = known.max_declines_;
        if (!known.rate_)
            continue;
        rates += rate_at(known, now);
        ++count;
    }
    if (added.max_declines_ <= 0)
        return;
    if (count > 0) {
        added.rate_ = rates / count;
        added.lowered_at_ = now;
        added.next_request_at_ =
            now + std::chrono::duration_cast<state::duration>(seconds{draw / *added.rate_});
    }
    entries_[endpoint.id_] = std::move(added);
}

auto brittle_endpoints::record_answer(const state::registered_endpoint& endpoint, double max_declines,
                                      state::time_point now) -> void
{
    if (max_declines <= 0 && services_.empty())
        return;
    if (max_declines > 0)
        services_[endpoint.service_] = now;
    auto& known = entries_[endpoint.id_];
    if (known.incarnation_ != endpoint.incarnation_)
        known = {};
    known.service_ = endpoint.service_;
    known.incarnation_ = endpoint.incarnation_;
    known.max_declines_ = max_declines;
    known.seen_at_ = now;
}

auto brittle_endpoints::record_decline(const state::registered_endpoint& endpoint, state::time_point now,
                                       double draw) -> std::optional<decline_news>
{
    const auto* known = find(endpoint);
    if (known == nullptr || known->max_declines_ <= 0)
        return std::nullopt;
    const auto news = decline_news{.endpoint_ = endpoint.id_,
                                   .incarnation_ = known->incarnation_,
                                   .max_declines_ = known->max_declines_};
    record_news(endpoint, news, now, draw);
    return news;
}

auto brittle_endpoints::record_news(const state::registered_endpoint& endpoint, const decline_news& news,
                                    state::time_point now, double draw) -> void
{
    services_[endpoint.service_] = now;
    auto& known = entries_[news.endpoint_];
    if (known.incarnation_ != news.incarnation_)
        known = {};
    known.service_ = endpoint.service_;
    known.incarnation_ = news.incarnation_;
    known.max_declines_ = news.max_declines_;
    known.seen_at_ = now;
    drop_older(known.declines_, now - decline_window);
    known.declines_.push_back(now);
    lower(known, now, draw);
    for (auto& [id, other] : entries_) {
        const auto is_sibling = other.service_ == endpoint.service_ && other.max_declines_ > 0;
        if (is_sibling && !other.rate_)
            hold(other, now, draw);
    }
}

auto brittle_endpoints::min_rate() const -> double
{
    return min_fleet_rate / static_cast<double>(std::max(instance_count_, std::size_t{1}));
}

auto brittle_endpoints::rate_sent(entry& known, state::time_point now) -> double
{
    drop_older(known.sent_, now - rate_window);
    return static_cast<double>(known.sent_.size()) / seconds{rate_window}.count();
}

auto brittle_endpoints::lower(entry& known, state::time_point now, double draw) const -> void
{
    if (!known.rate_ || now - known.lowered_at_ >= reduction_interval) {
        const auto sent = rate_sent(known, now);
        // What has not been used does not show that the endpoint can bear it.
        const auto current =
            known.rate_ ? std::min(rate_at(known, now), std::max(sent * used_margin, *known.rate_)) : sent;
        known.rate_ = std::max(current * reduction_factor, min_rate());
        known.lowered_at_ = now;
    }
    const auto stopping = stopping_count(known.max_declines_);
    auto reopens_at = now;
    if (known.declines_.size() >= stopping)
        reopens_at = known.declines_.at(known.declines_.size() - stopping) + decline_window;
    delay(known, reopens_at, draw);
}

auto brittle_endpoints::hold(entry& known, state::time_point now, double draw) const -> void
{
    known.rate_ = std::max(rate_sent(known, now), min_rate());
    known.lowered_at_ = now;
    delay(known, now, draw);
}

auto brittle_endpoints::delay(entry& known, state::time_point until, double draw) -> void
{
    // The instances do not return together.
    const auto spread = std::chrono::duration_cast<state::duration>(seconds{draw / *known.rate_});
    known.next_request_at_ = std::max(known.next_request_at_, until + spread);
}

auto brittle_endpoints::rate_at(const entry& known, state::time_point now) -> double
{
    const auto growth = 1.0 + std::min(growth_per_decline * known.max_declines_, max_growth);
    return *known.rate_ * std::pow(growth, seconds{now - known.lowered_at_}.count());
}

auto brittle_endpoints::next_request_at(const state::registered_endpoint& endpoint,
                                        state::time_point now) const -> state::time_point
{
    const auto* known = find(endpoint);
    const auto is_brittle = known != nullptr && known->max_declines_ > 0;
    return is_brittle ? std::max(now, known->next_request_at_) : now;
}

auto brittle_endpoints::may_be_brittle(const state::registered_endpoint& endpoint) const -> bool
{
    if (const auto* known = find(endpoint))
        return known->max_declines_ > 0;
    return services_.contains(endpoint.service_);
}

auto brittle_endpoints::has_room(const state::registered_endpoint& endpoint, std::int32_t own_in_flight) const
    -> bool
{
    if (endpoint.slots_ <= 0 || instance_count_ == 0 || !may_be_brittle(endpoint))
        return true;
    const auto slots = static_cast<std::size_t>(endpoint.slots_);
    const auto bound = std::max(slots * max_share_factor / instance_count_, std::size_t{1});
    return static_cast<std::size_t>(own_in_flight) < bound;
}

auto brittle_endpoints::record_sent(const state::registered_endpoint& endpoint, state::time_point now) -> void
{
    const auto found = entries_.find(endpoint.id_);
    if (found == entries_.end() || found->second.incarnation_ != endpoint.incarnation_)
        return;
    auto& known = found->second;
    drop_older(known.sent_, now - rate_window);
    known.sent_.push_back(now);
    if (!known.rate_)
        return;
    const auto rate = rate_at(known, now);
    if (rate > unlimited_rate) {
        known.rate_.reset();
        return;
    }
    known.next_request_at_ = std::max(known.next_request_at_, now) +
                             std::chrono::duration_cast<state::duration>(seconds{1.0 / rate});
}

auto brittle_endpoints::forget_old(state::time_point now) -> void
{
    std::erase_if(entries_, [now](const auto& item) { return now - item.second.seen_at_ > retention_time; });
    std::erase_if(services_, [now](const auto& item) { return now - item.second > retention_time; });
}

} // namespace buckthorndale::coordination::forwarding
