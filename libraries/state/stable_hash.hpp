#pragma once

#include <cstdint>
#include <string_view>

namespace buckthorndale::state {

/// A hash that is identical on every instance and in every release (64-bit XXH3).
auto stable_hash(std::string_view bytes, std::uint64_t seed = 0) -> std::uint64_t;

} // namespace buckthorndale::state
