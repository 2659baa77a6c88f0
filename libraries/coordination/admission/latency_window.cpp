#include "coordination/admission/latency_window.hpp"

#include <algorithm>

namespace buckthorndale::coordination::admission {

namespace {

/// A time to first byte above this fraction of its objective indicates queueing at the endpoints.
constexpr auto late_fraction = 0.6;
/// The window grows by this much for each full window of responses that are in time.
constexpr auto growth_per_window = 2.0;
constexpr auto shrink_factor = 0.85;
/// Late responses that were in flight together count as one sign of congestion.
constexpr auto shrink_interval = state::duration{std::chrono::milliseconds{400}};
/// Each priority level below the most urgent leaves this fraction of the window free.
constexpr auto reserved_fraction_per_priority = 0.15;
constexpr auto min_fraction = 0.4;

} // namespace

auto latency_window::record_first_byte(state::duration time, state::duration objective,
                                       std::int32_t in_flight, state::time_point now) -> void
{
    const auto fraction = std::chrono::duration<double>(time) / std::chrono::duration<double>(objective);
    if (fraction > late_fraction) {
        shrink(now);
        return;
    }
    // A mostly unused window gives no information about a larger one.
    if (in_flight * 2 > size_)
        size_ = std::min(size_ + growth_per_window / size_, max_size);
}

auto latency_window::shrink(state::time_point now) -> void
{
    if (now - shrunk_at_ < shrink_interval)
        return;
    shrunk_at_ = now;
    size_ = std::max(size_ * shrink_factor, min_size);
}

auto latency_window::admits(std::int32_t in_flight, std::int32_t priority) const -> bool
{
    const auto fraction = std::max(1.0 - reserved_fraction_per_priority * priority, min_fraction);
    return in_flight < std::max(size_ * fraction, 1.0);
}

} // namespace buckthorndale::coordination::admission
