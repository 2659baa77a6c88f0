#pragma once

#include "state/units.hpp"

#include <concepts>

/// Sources of time and randomness, which tests replace by deterministic ones.
namespace buckthorndale::coordination::time {

/// Provides the monotonic and the wall-clock time; tests substitute virtual time.
template <typename Type>
concept clock_source = requires(const Type& clock) {
    {
        clock.now()
    } -> std::same_as<state::time_point>;
    {
        clock.wall_now()
    } -> std::same_as<state::wall_time>;
};

} // namespace buckthorndale::coordination::time
