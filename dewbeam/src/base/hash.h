/// \file
/// Content hashing with XXH3, stable across processes and versions.
#pragma once

#include <cstdint>
#include <string_view>

namespace dewbeam {

/// 64-bit hash of `bytes`; the same on every host.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two hashes into one; the order of the two matters.
std::uint64_t combine_hash(std::uint64_t first, std::uint64_t second);

}  // namespace dewbeam
