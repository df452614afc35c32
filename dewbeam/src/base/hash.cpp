#include "dewbeam/src/base/hash.h"

#include <xxhash.h>

#include <array>

namespace dewbeam {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t combine_hash(std::uint64_t first, std::uint64_t second)
{
    const std::array<std::uint64_t, 2> both{first, second};
    return XXH3_64bits(both.data(), sizeof(both));
}

}  // namespace dewbeam
