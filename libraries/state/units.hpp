#pragma once

#include "state/strong_number.hpp"

#include <chrono>
#include <cstdint>

namespace buckthorndale::state {

/// Money, in millionths of the operators' accounting unit.
using micro_credits = strong_number<struct micro_credits_tag, std::int64_t>;
/// A number of generated or prompt tokens.
using token_count = strong_number<struct token_count_tag, std::int64_t>;
/// A share, a rating or a quality target in thousandths, from 0 to 1,000.
using permille = strong_number<struct permille_tag, std::int32_t>;

inline constexpr auto full_share = permille{1000};

using duration = std::chrono::microseconds;

/// The clock type for points on the process's monotonic clock or on a test's virtual clock.
/// Time points of different processes are not comparable.
struct monotonic_epoch {
    using duration = state::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_epoch>;
    static constexpr bool is_steady = true;
};

using time_point = monotonic_epoch::time_point;

/// Wall-clock time, in milliseconds since 1970-01-01 UTC, for records that outlive a process.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

} // namespace buckthorndale::state
