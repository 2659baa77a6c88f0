#include "coordination/forwarding/first_byte_forecast.hpp"

namespace buckthorndale::coordination::forwarding {

auto first_byte_forecast::record(const std::string& route, const state::model_name& model,
                                 std::int64_t length, state::duration time) -> void
{
    auto& known = sums_[{route, model}];
    known.lengths_ = known.lengths_ * decay_factor_ + static_cast<double>(length);
    known.times_us_ = known.times_us_ * decay_factor_ + static_cast<double>(time.count());
}

auto first_byte_forecast::expected(const std::string& route, const state::model_name& model,
                                   std::int64_t length, std::chrono::nanoseconds default_token_time) const
    -> state::duration
{
    const auto found = sums_.find({route, model});
    if (found == sums_.end() || found->second.lengths_ <= 0)
        return std::chrono::duration_cast<state::duration>(default_token_time * length);
    const auto time = found->second.times_us_ / found->second.lengths_ * static_cast<double>(length);
    return state::duration{static_cast<state::duration::rep>(time)};
}

} // namespace buckthorndale::coordination::forwarding
