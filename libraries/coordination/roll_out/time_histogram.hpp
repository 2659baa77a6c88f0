#pragma once

#include "state/units.hpp"

#include <cstdint>
#include <map>

namespace buckthorndale::coordination::roll_out {

/// Counts of times in bins of equal width on a logarithmic scale. A version that is slower by a factor moves
/// its counts by the same number of bins whatever the work takes, and the counts of several instances can be
/// added up.
class time_histogram {
public:
    static constexpr auto bins_per_octave = 4;

    static auto bin_of(state::duration time) -> std::int32_t;

    auto add(std::int32_t bin, std::int64_t count = 1) -> void { counts_[bin] += count; }

    auto operator+=(const time_histogram& other) -> time_histogram&;

    auto counts() const -> const std::map<std::int32_t, std::int64_t>& { return counts_; }

    auto total() const -> std::int64_t;

    auto operator==(const time_histogram&) const -> bool = default;

private:
    std::map<std::int32_t, std::int64_t> counts_;
};

} // namespace buckthorndale::coordination::roll_out
