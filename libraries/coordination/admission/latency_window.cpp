#include "coordination/admission/latency_window.hpp"

#include <algorithm>

namespace buckthorndale::coordination::admission {

namespace {

/// A head that takes more than this part of its objective is a sign of queues at the endpoints.
constexpr auto late_part = 0.6;
/// The window grows by this much each time a whole window of answers came in time.
constexpr auto opened_per_window = 2.0;
constexpr auto shrink_factor = 0.85;
/// Answers that were under way together are one sign.
constexpr auto shrink_interval = state::duration{std::chrono::milliseconds{400}};
/// Each step of urgency below the first leaves this part of the window free.
constexpr auto part_left_free = 0.15;
constexpr auto least_part = 0.4;

} // namespace

auto latency_window::record_head(state::duration time, state::duration objective, std::int32_t in_flight,
                                 state::time_point now) -> void
{
    const auto part = std::chrono::duration<double>(time) / std::chrono::duration<double>(objective);
    if (part > late_part) {
        shrink(now);
        return;
    }
    // A window that is not used says nothing about a larger one.
    if (in_flight * 2 > size_)
        size_ = std::min(size_ + opened_per_window / size_, largest);
}

auto latency_window::shrink(state::time_point now) -> void
{
    if (now - shrunk_at_ < shrink_interval)
        return;
    shrunk_at_ = now;
    size_ = std::max(size_ * shrink_factor, smallest);
}

auto latency_window::admits(std::int32_t in_flight, std::int32_t priority) const -> bool
{
    const auto part = std::max(1.0 - part_left_free * priority, least_part);
    return in_flight < std::max(size_ * part, 1.0);
}

} // namespace buckthorndale::coordination::admission
