#include "coordination/admission/waiting_line.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace buckthorndale::coordination::admission {

namespace {

using seconds = std::chrono::duration<double>;

/// Counts cover about this time, in which the load changes little.
constexpr auto counted_time = state::duration{std::chrono::seconds{1}};
/// With fewer starts the rate says nothing.
constexpr auto min_starts = 3.0;
/// A line that was empty this long ago tells nothing about the room that appears.
constexpr auto min_busy_time = state::duration{std::chrono::milliseconds{300}};
/// Requests without a forecast still take a part of the endpoints' time.
constexpr auto min_work = state::duration{std::chrono::milliseconds{1}};

} // namespace

auto waiting_line::recent_count::add(state::time_point now) -> void
{
    count_ = at(now) + 1.0;
    counted_at_ = now;
}

auto waiting_line::recent_count::at(state::time_point now) const -> double
{
    return count_ * std::exp(-seconds{now - counted_at_} / seconds{counted_time});
}

auto waiting_line::push(const waiting_request& request, state::time_point now) -> void
{
    if (is_empty())
        busy_since_ = now;
    auto place =
        position{.priority_ = request.priority_, .number_ = ++last_number_, .handle_ = request.handle_};
    auto& known = lanes_[{request.priority_, request.workspace_}];
    ++known.size_;
    if (order_ == line_order::by_workspace) {
        place.start_ = std::max(virtual_times_[request.priority_], known.end_);
        known.end_ = place.start_ + seconds{std::max(request.work_, min_work)}.count();
    }
    ++sizes_[request.priority_];
    line_.insert(place);
    positions_.emplace(request.handle_, queued{.position_ = place, .workspace_ = request.workspace_});
}

auto waiting_line::erase(state::request_handle handle) -> position
{
    const auto found = positions_.find(handle);
    const auto place = found->second.position_;
    const auto key = lane_key{.priority_ = place.priority_, .workspace_ = found->second.workspace_};
    const auto known = lanes_.find(key);
    // A lane that is empty is forgotten once the others have caught up with it.
    if (--known->second.size_ == 0 && known->second.end_ <= virtual_times_[place.priority_])
        lanes_.erase(known);
    --sizes_[place.priority_];
    line_.erase(place);
    positions_.erase(found);
    if (positions_.empty()) {
        lanes_.clear();
        virtual_times_.clear();
        sizes_.clear();
    }
    return place;
}

auto waiting_line::remove(state::request_handle handle) -> void
{
    if (contains(handle))
        erase(handle);
}

auto waiting_line::take(state::request_handle handle, state::time_point now) -> void
{
    if (!contains(handle))
        return;
    const auto place = erase(handle);
    if (!positions_.empty()) {
        auto& time = virtual_times_[place.priority_];
        time = std::max(time, place.start_);
    }
    starts_.add(now);
}

auto waiting_line::first() const -> std::optional<state::request_handle>
{
    return line_.empty() ? std::nullopt : std::optional{line_.begin()->handle_};
}

auto waiting_line::after(state::request_handle handle) const -> std::optional<state::request_handle>
{
    const auto found = positions_.find(handle);
    if (found == positions_.end())
        return std::nullopt;
    const auto next = line_.upper_bound(found->second.position_);
    return next == line_.end() ? std::nullopt : std::optional{next->handle_};
}

auto waiting_line::starts_per_second(state::time_point now) const -> double
{
    const auto starts = starts_.at(now);
    return starts < min_starts ? 0.0 : starts / seconds{counted_time}.count();
}

auto waiting_line::expected_wait(state::request_handle handle, state::time_point now) const
    -> std::optional<state::duration>
{
    const auto found = positions_.find(handle);
    const auto rate = starts_per_second(now);
    if (found == positions_.end() || rate <= 0 || now - busy_since_ < min_busy_time)
        return std::nullopt;
    const auto& place = found->second.position_;
    auto ahead = std::size_t{0};
    for (const auto& [priority, size] : sizes_)
        ahead += priority < place.priority_ ? size : 0;
    // A lane starts one request for each one of the other lanes.
    const auto same = sizes_.at(place.priority_);
    const auto own = lanes_.at({.priority_ = place.priority_, .workspace_ = found->second.workspace_}).size_;
    const auto is_equal = [&](const auto& item) {
        return item.first.priority_ == place.priority_ && item.second.size_ > 0;
    };
    const auto lanes = static_cast<std::size_t>(std::ranges::count_if(lanes_, is_equal));
    ahead += order_ == line_order::by_workspace ? std::min(same, own * lanes) : same;
    return std::chrono::duration_cast<state::duration>(seconds{static_cast<double>(ahead) / rate});
}

auto waiting_line::reserve_return(state::duration max_delay, state::time_point now) -> state::duration
{
    const auto rate = starts_per_second(now);
    if (rate <= 0 || max_delay <= state::duration::zero())
        return state::duration::zero();
    const auto to_duration = [rate](double requests) {
        return std::chrono::duration_cast<state::duration>(seconds{requests / rate});
    };
    const auto place = std::max(next_return_, now + to_duration(static_cast<double>(size())));
    if (place - now > max_delay)
        return max_delay;
    next_return_ = place + to_duration(1.0);
    return place - now;
}

} // namespace buckthorndale::coordination::admission
