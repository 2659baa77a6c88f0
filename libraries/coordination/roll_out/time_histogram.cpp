#include "coordination/roll_out/time_histogram.hpp"

#include <algorithm>
#include <cmath>

namespace buckthorndale::coordination::roll_out {

auto time_histogram::bin_of(state::duration time) -> std::int32_t
{
    const auto us = static_cast<double>(std::max(time, state::duration{1}).count());
    return static_cast<std::int32_t>(std::log2(us) * bins_per_octave);
}

auto time_histogram::operator+=(const time_histogram& other) -> time_histogram&
{
    for (const auto& [bin, count] : other.counts_)
        counts_[bin] += count;
    return *this;
}

auto time_histogram::total() const -> std::int64_t
{
    auto sum = std::int64_t{0};
    for (const auto& [bin, count] : counts_)
        sum += count;
    return sum;
}

} // namespace buckthorndale::coordination::roll_out
