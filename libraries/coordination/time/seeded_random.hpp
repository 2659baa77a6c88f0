#pragma once

#include <cstdint>

namespace buckthorndale::coordination::time {

/// A small seeded pseudo-random generator (SplitMix64: Steele, Lea and Flood, OOPSLA 2014).
class seeded_random {
public:
    explicit seeded_random(std::uint64_t seed) : state_{seed} {}

    auto next() -> std::uint64_t
    {
        state_ += 0x9e3779b97f4a7c15ULL;
        auto mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    }

    /// Returns a number from 0 to bound - 1. The bound must be positive.
    auto below(std::uint64_t bound) -> std::uint64_t { return next() % bound; }

    /// Returns a number in [0, 1).
    auto unit() -> double { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

    /// Returns true with the given probability, from 0 to 1.
    auto chance(double probability) -> bool { return unit() < probability; }

private:
    std::uint64_t state_;
};

} // namespace buckthorndale::coordination::time
