#pragma once

#include <cstdint>
#include <random>

namespace buckthorndale::transport::process {

/// Pseudo-random numbers, seeded by the operating system.
class system_random {
public:
    auto next() -> std::uint64_t { return engine_(); }

private:
    std::mt19937_64 engine_{(std::uint64_t{std::random_device{}()} << 32U) ^ std::random_device{}()};
};

} // namespace buckthorndale::transport::process
