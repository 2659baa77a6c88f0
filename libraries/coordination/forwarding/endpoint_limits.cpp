#include "coordination/forwarding/endpoint_limits.hpp"

#include "state/stable_hash.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace buckthorndale::coordination::forwarding {

namespace {

using seconds = std::chrono::duration<double>;

/// With these, the permits that can be used within 4 s are at most 4.5 to 6 times the rate.
constexpr auto min_validity = state::duration{std::chrono::milliseconds{500}};
constexpr auto max_validity = state::duration{std::chrono::seconds{2}};
/// Responses that an endpoint writes one after the other may arrive in another order, at different instances.
constexpr auto reordering_time = state::duration{std::chrono::milliseconds{100}};
/// Instances learn of the same limit within a few milliseconds, and count turns from the earliest of them.
constexpr auto start_tolerance = state::duration{std::chrono::milliseconds{20}};
constexpr auto check_interval = state::duration{std::chrono::milliseconds{1500}};
constexpr auto ask_interval = state::duration{std::chrono::milliseconds{100}};
/// An instance that lacked a permit in this time hands none over.
constexpr auto need_window = state::duration{std::chrono::seconds{1}};
constexpr auto max_asked_permits = std::int32_t{20};
/// How long the end of a limit is told to instances that may have missed it.
constexpr auto end_news_time = state::duration{std::chrono::seconds{5}};
constexpr auto retention_time = state::duration{std::chrono::minutes{10}};
/// Until the list of instances is known; others are asked meanwhile.
constexpr auto unknown_instances_pause = state::duration{std::chrono::seconds{1}};

auto to_duration(double count) -> state::duration
{
    return std::chrono::duration_cast<state::duration>(seconds{count});
}

} // namespace

auto endpoint_limits::set_instances(const state::instance_id& own, std::vector<state::instance_id> all,
                                    state::time_point now) -> void
{
    // Neighbours in this order are of different data centres, so that those which a cut leaves together do
    // not have their turns together.
    std::ranges::sort(all, {}, [](const auto& id) { return std::pair{state::stable_hash(id.text()), id}; });
    if (all == instances_)
        return;
    instances_ = std::move(all);
    const auto found = std::ranges::find(instances_, own);
    if (found == instances_.end())
        instances_.clear();
    own_rank_ = static_cast<std::size_t>(found - instances_.begin());
    for (auto& [endpoint, known] : entries_)
        restart_turns(endpoint, known, known.rate_, known.began_at_, now);
}

auto endpoint_limits::find(const state::registered_endpoint& endpoint) const -> const entry*
{
    const auto found = entries_.find(endpoint.id_);
    const auto is_same_run = found != entries_.end() && found->second.incarnation_ == endpoint.incarnation_;
    return is_same_run ? &found->second : nullptr;
}

auto endpoint_limits::find(const state::registered_endpoint& endpoint) -> entry*
{
    const auto found = entries_.find(endpoint.id_);
    const auto is_same_run = found != entries_.end() && found->second.incarnation_ == endpoint.incarnation_;
    return is_same_run ? &found->second : nullptr;
}

auto endpoint_limits::validity(double rate) -> state::duration
{
    return std::clamp(to_duration(std::min(1.0 / rate, 10.0)), min_validity, max_validity);
}

auto endpoint_limits::position_of(const state::endpoint_id& endpoint, const entry& known,
                                  state::time_point time) const -> double
{
    const auto count = instances_.size();
    // Each endpoint's turns begin at another instance.
    const auto rank = (own_rank_ + state::stable_hash(endpoint.text())) % count;
    const auto turns = seconds{time - known.began_at_}.count() * known.rate_;
    return (turns - static_cast<double>(rank)) / static_cast<double>(count);
}

auto endpoint_limits::time_of(const state::endpoint_id& endpoint, const entry& known,
                              std::int64_t permit) const -> state::time_point
{
    const auto count = instances_.size();
    const auto rank = (own_rank_ + state::stable_hash(endpoint.text())) % count;
    const auto turns = static_cast<double>(permit) * static_cast<double>(count) + static_cast<double>(rank);
    return known.began_at_ + to_duration(turns / known.rate_) + state::duration{1};
}

auto endpoint_limits::first_usable(const state::endpoint_id& endpoint, const entry& known,
                                   state::time_point now) const -> std::int64_t
{
    const auto oldest = std::ceil(position_of(endpoint, known, now - validity(known.rate_)));
    return std::max({known.next_permit_, static_cast<std::int64_t>(oldest), std::int64_t{0}});
}

auto endpoint_limits::usable_count(const state::endpoint_id& endpoint, const entry& known,
                                   state::time_point now) const -> std::int64_t
{
    if (instances_.empty())
        return 0;
    const auto newest = static_cast<std::int64_t>(std::floor(position_of(endpoint, known, now)));
    return std::max(newest - first_usable(endpoint, known, now) + 1, std::int64_t{0});
}

auto endpoint_limits::restart_turns(const state::endpoint_id& endpoint, entry& known, double rate,
                                    state::time_point began_at, state::time_point now) const -> void
{
    known.rate_ = rate;
    known.began_at_ = began_at;
    known.next_permit_ = 0;
    if (rate > 0 && !instances_.empty())
        known.next_permit_ = std::max(
            static_cast<std::int64_t>(std::floor(position_of(endpoint, known, now))) + 1, std::int64_t{0});
}

auto endpoint_limits::news_of(const state::endpoint_id& endpoint, const entry& known, state::time_point now)
    -> limit_news
{
    return {.endpoint_ = endpoint,
            .incarnation_ = known.incarnation_,
            .rate_ = known.rate_,
            .seen_ago_ = now - known.seen_at_,
            .began_ago_ = now - known.began_at_};
}

auto endpoint_limits::record_answer(const state::registered_endpoint& endpoint, double rate,
                                    state::time_point now) -> std::optional<limit_news>
{
    auto* known = find(endpoint);
    if (known == nullptr) {
        if (rate <= 0)
            return std::nullopt;
        known = &entries_[endpoint.id_];
        *known = entry{.incarnation_ = endpoint.incarnation_};
    } else if (known->rate_ == rate) {
        known->seen_at_ = now;
        return std::nullopt;
    } else if (now - known->seen_at_ < reordering_time) {
        return std::nullopt;
    }
    known->seen_at_ = now;
    restart_turns(endpoint.id_, *known, rate, now, now);
    return news_of(endpoint.id_, *known, now);
}

auto endpoint_limits::record_news(const limit_news& news, state::time_point now) -> std::optional<limit_news>
{
    const auto seen_at = now - news.seen_ago_;
    const auto began_at = now - news.began_ago_;
    const auto found = entries_.find(news.endpoint_);
    if (found == entries_.end() || found->second.incarnation_ != news.incarnation_) {
        const auto is_older_run = found != entries_.end() && found->second.incarnation_ > news.incarnation_;
        if (news.rate_ <= 0 || is_older_run)
            return std::nullopt;
        auto& added = entries_[news.endpoint_];
        added = entry{.incarnation_ = news.incarnation_, .seen_at_ = seen_at};
        restart_turns(news.endpoint_, added, news.rate_, began_at, now);
        return std::nullopt;
    }
    auto& known = found->second;
    if (known.rate_ == news.rate_) {
        known.seen_at_ = std::max(known.seen_at_, seen_at);
        if (began_at < known.began_at_ - start_tolerance)
            restart_turns(news.endpoint_, known, news.rate_, began_at, now);
        return std::nullopt;
    }
    if (seen_at <= known.seen_at_) {
        if (known.seen_at_ - seen_at < reordering_time)
            return std::nullopt;
        return news_of(news.endpoint_, known, now);
    }
    known.seen_at_ = seen_at;
    restart_turns(news.endpoint_, known, news.rate_, began_at, now);
    return std::nullopt;
}

auto endpoint_limits::is_limited(const state::registered_endpoint& endpoint) const -> bool
{
    const auto* known = find(endpoint);
    return known != nullptr && known->rate_ > 0;
}

auto endpoint_limits::next_request_at(const state::registered_endpoint& endpoint, state::time_point now) const
    -> state::time_point
{
    const auto* known = find(endpoint);
    if (known == nullptr || known->rate_ <= 0)
        return now;
    const auto is_valid = [now](state::time_point expiry) { return expiry > now; };
    if (std::ranges::any_of(known->received_, is_valid) || usable_count(endpoint.id_, *known, now) > 0)
        return now;
    if (instances_.empty())
        return now + unknown_instances_pause;
    return std::max(time_of(endpoint.id_, *known, first_usable(endpoint.id_, *known, now)),
                    now + state::duration{1});
}

auto endpoint_limits::next_turn_at(const state::registered_endpoint& endpoint, state::time_point now) const
    -> state::time_point
{
    const auto* known = find(endpoint);
    if (known == nullptr || known->rate_ <= 0)
        return now;
    return std::min(next_request_at(endpoint, now), now + to_duration(std::min(1.0 / known->rate_, 10.0)));
}

auto endpoint_limits::is_due_for_check(const state::registered_endpoint& endpoint,
                                       state::time_point now) const -> bool
{
    const auto* known = find(endpoint);
    return known != nullptr && known->rate_ > 0 && now - known->seen_at_ > check_interval &&
           next_request_at(endpoint, now) <= now;
}

auto endpoint_limits::record_sent(const state::registered_endpoint& endpoint, state::time_point now) -> void
{
    auto* known = find(endpoint);
    if (known == nullptr || known->rate_ <= 0)
        return;
    std::erase_if(known->received_, [now](state::time_point expiry) { return expiry <= now; });
    if (!known->received_.empty())
        known->received_.erase(known->received_.begin());
    else if (!instances_.empty())
        known->next_permit_ = first_usable(endpoint.id_, *known, now) + 1;
}

auto endpoint_limits::record_unmet(const state::registered_endpoint& endpoint, state::time_point now) -> void
{
    auto* known = find(endpoint);
    if (known == nullptr || known->rate_ <= 0)
        return;
    known->unmet_ = std::min(known->unmet_ + 1, max_asked_permits);
    known->unmet_at_ = now;
}

auto endpoint_limits::wanted_permits(state::time_point now) -> std::vector<permit_transfer>
{
    auto wanted = std::vector<permit_transfer>{};
    for (auto& [endpoint, known] : entries_) {
        if (known.rate_ <= 0 || known.unmet_ == 0 || now - known.asked_at_ < ask_interval)
            continue;
        wanted.push_back({.endpoint_ = endpoint,
                          .incarnation_ = known.incarnation_,
                          .count_ = std::exchange(known.unmet_, 0)});
        known.asked_at_ = now;
    }
    return wanted;
}

auto endpoint_limits::hand_over(const permit_transfer& wanted, state::time_point now)
    -> std::optional<permit_transfer>
{
    const auto found = entries_.find(wanted.endpoint_);
    if (found == entries_.end() || found->second.incarnation_ != wanted.incarnation_)
        return std::nullopt;
    auto& known = found->second;
    if (known.rate_ <= 0 || now - known.unmet_at_ < need_window)
        return std::nullopt;
    // The other half is for this instance's own requests.
    const auto spare = (usable_count(wanted.endpoint_, known, now) + 1) / 2;
    const auto count = std::min(spare, std::int64_t{wanted.count_});
    if (count <= 0)
        return std::nullopt;
    const auto first = first_usable(wanted.endpoint_, known, now);
    known.next_permit_ = first + count;
    const auto valid_for = time_of(wanted.endpoint_, known, first) + validity(known.rate_) - now;
    return permit_transfer{.endpoint_ = wanted.endpoint_,
                           .incarnation_ = known.incarnation_,
                           .count_ = static_cast<std::int32_t>(count),
                           .valid_for_ = std::max(valid_for, state::duration{1})};
}

auto endpoint_limits::receive(const permit_transfer& permits, state::time_point now) -> void
{
    const auto found = entries_.find(permits.endpoint_);
    if (found == entries_.end() || found->second.incarnation_ != permits.incarnation_)
        return;
    auto& received = found->second.received_;
    std::erase_if(received, [now](state::time_point expiry) { return expiry <= now; });
    const auto expiry = now + std::min(permits.valid_for_, max_validity);
    received.insert(received.end(), static_cast<std::size_t>(std::min(permits.count_, max_asked_permits)),
                    expiry);
    std::ranges::sort(received);
}

auto endpoint_limits::news(state::time_point now) const -> std::vector<limit_news>
{
    auto all = std::vector<limit_news>{};
    for (const auto& [endpoint, known] : entries_) {
        if (known.rate_ > 0 || now - known.seen_at_ < end_news_time)
            all.push_back(news_of(endpoint, known, now));
    }
    return all;
}

auto endpoint_limits::size() const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(entries_, [](const auto& item) { return item.second.rate_ > 0; }));
}

auto endpoint_limits::forget_old(state::time_point now) -> void
{
    std::erase_if(entries_, [now](const auto& item) { return now - item.second.seen_at_ > retention_time; });
}

} // namespace buckthorndale::coordination::forwarding
