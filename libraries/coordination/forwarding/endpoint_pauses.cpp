#include "coordination/forwarding/endpoint_pauses.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

constexpr auto spread_divisor = 4;
constexpr auto max_spread = state::duration{std::chrono::seconds{1}};
constexpr auto min_first_interval = state::duration{std::chrono::milliseconds{100}};
constexpr auto max_first_interval = state::duration{std::chrono::seconds{1}};
constexpr auto interval_divisor = 4;
/// Below this interval requests are no longer held back.
constexpr auto min_interval = state::duration{std::chrono::milliseconds{10}};
constexpr auto retention_time = state::duration{std::chrono::minutes{1}};

} // namespace

auto endpoint_pauses::add(const state::endpoint_id& endpoint, state::duration pause, state::time_point now,
                          std::uint64_t random) -> void
{
    const auto spread = std::clamp(pause / spread_divisor, state::duration{1}, max_spread);
    const auto delay = state::duration{
        static_cast<state::duration::rep>(random % static_cast<std::uint64_t>(spread.count()))};
    auto& known = entries_[endpoint];
    known.ends_at_ = std::max(known.ends_at_, now + pause + delay);
    known.next_request_at_ = known.ends_at_;
    known.interval_ = std::max(known.interval_, std::clamp(pause, min_first_interval, max_first_interval));
}

auto endpoint_pauses::next_request_at(const state::endpoint_id& endpoint, state::time_point now) const
    -> state::time_point
{
    const auto found = entries_.find(endpoint);
    return found == entries_.end() ? now : std::max(now, found->second.next_request_at_);
}

auto endpoint_pauses::record_sent(const state::endpoint_id& endpoint, state::time_point now) -> void
{
    const auto found = entries_.find(endpoint);
    if (found != entries_.end())
        found->second.next_request_at_ = now + found->second.interval_;
}

auto endpoint_pauses::record_good_answer(const state::endpoint_id& endpoint, state::time_point sent_at,
                                         state::time_point now) -> void
{
    const auto found = entries_.find(endpoint);
    // Answers to requests from before the pause do not end it.
    if (found == entries_.end() || sent_at < found->second.ends_at_)
        return;
    auto& known = found->second;
    known.interval_ /= interval_divisor;
    known.next_request_at_ = std::min(known.next_request_at_, now + known.interval_);
    if (known.interval_ < min_interval)
        entries_.erase(found);
}

auto endpoint_pauses::forget_old(state::time_point now) -> void
{
    std::erase_if(entries_, [now](const auto& item) { return now - item.second.ends_at_ > retention_time; });
}

} // namespace buckthorndale::coordination::forwarding
