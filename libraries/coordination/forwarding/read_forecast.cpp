#include "coordination/forwarding/read_forecast.hpp"

namespace buckthorndale::coordination::forwarding {

namespace {

/// About the last twenty answers count.
constexpr auto kept_part = 0.95;

} // namespace

auto read_forecast::record(const std::string& route, const state::model_name& model, std::int64_t length,
                           state::duration time) -> void
{
    auto& known = sums_[{route, model}];
    known.lengths_ = known.lengths_ * kept_part + static_cast<double>(length);
    known.times_us_ = known.times_us_ * kept_part + static_cast<double>(time.count());
}

auto read_forecast::expected(const std::string& route, const state::model_name& model, std::int64_t length,
                             std::chrono::nanoseconds unknown_pace) const -> state::duration
{
    const auto found = sums_.find({route, model});
    if (found == sums_.end() || found->second.lengths_ <= 0)
        return std::chrono::duration_cast<state::duration>(unknown_pace * length);
    const auto time = found->second.times_us_ / found->second.lengths_ * static_cast<double>(length);
    return state::duration{static_cast<state::duration::rep>(time)};
}

} // namespace buckthorndale::coordination::forwarding
