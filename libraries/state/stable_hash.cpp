#include "state/stable_hash.hpp"

#include <xxhash.h>

namespace buckthorndale::state {

auto stable_hash(std::string_view bytes, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

} // namespace buckthorndale::state
