#include "coordination/roll_out/roll_out_step.hpp"

#include <algorithm>
#include <array>

namespace buckthorndale::coordination::roll_out {

namespace {

/// Shares in permille. Each is at most five times the previous one, which bounds how much more traffic a step
/// exposes than the evidence so far was gathered on.
constexpr auto shares =
    std::array{state::permille{10}, state::permille{50}, state::permille{200}, state::permille{500}};

} // namespace

auto next_step(const state::roll_out& before) -> state::roll_out
{
    auto after = before;
    const auto* const next = std::ranges::upper_bound(shares, before.share_);
    if (next != shares.end()) {
        after.share_ = *next;
        return after;
    }
    after.share_ = state::full_share;
    after.state_ = state::roll_out_state::complete;
    return after;
}

auto halted(const state::roll_out& before) -> state::roll_out
{
    auto after = before;
    after.share_ = state::permille{};
    after.state_ = state::roll_out_state::halted;
    return after;
}

} // namespace buckthorndale::coordination::roll_out
