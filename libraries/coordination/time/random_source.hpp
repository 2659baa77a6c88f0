#pragma once

#include <concepts>
#include <cstdint>

namespace buckthorndale::coordination::time {

/// Generates uniformly distributed 64-bit numbers; tests use a fixed seed.
template <typename Type>
concept random_source = requires(Type& random) {
    {
        random.next()
    } -> std::same_as<std::uint64_t>;
};

} // namespace buckthorndale::coordination::time
