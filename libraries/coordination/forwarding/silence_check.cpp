#include "coordination/forwarding/silence_check.hpp"

#include <algorithm>

namespace buckthorndale::coordination::forwarding {

namespace {

constexpr auto min_wait = state::duration{std::chrono::milliseconds{150}};
/// A loss of the links is found within a second of the first request that meets it.
constexpr auto max_wait_in_silence = state::duration{std::chrono::milliseconds{500}};
constexpr auto objective_divisor = 2;
constexpr auto expected_factor = 2;

} // namespace

auto check_after(state::duration objective, state::duration expected, bool is_service_silent)
    -> state::duration
{
    const auto wait = std::max(objective / objective_divisor, expected * expected_factor);
    return std::max(is_service_silent ? std::min(wait, max_wait_in_silence) : wait, min_wait);
}

} // namespace buckthorndale::coordination::forwarding
