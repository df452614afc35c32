/// \file
/// Counts of chosen experts on their way to the rank that plans: four or eight bits each.
///
/// Only what was chosen since the last telling matters, and to within a few percent of the most
/// popular expert: what many ranks round off by themselves evens out. What one telling rounds off
/// comes with a later one, so that sums stay exact.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dewbeam::ranks {

/// Choices since the last telling, in `m_bits` bits each without their lowest `m_dropped_bits`.
struct packed_counts {
    std::string m_bytes;
    std::uint32_t m_bits = 8;  ///< 4 or 8
    std::uint32_t m_dropped_bits = 0;
};

/// What a rank has told so far. Counts that fall are those of an engine that started anew; they
/// are told from there on.
struct told_counts {
    std::vector<std::uint64_t> m_told;
    std::uint64_t m_formation = 0;  ///< of the group, at the last telling
    std::uint64_t m_step = 0;       ///< the same
};

/// Steps in which the choices were made that the next telling holds; the telling is taken as made.
std::uint64_t steps_since(told_counts& told, std::uint64_t formation, std::uint64_t step,
                          const std::vector<std::uint64_t>& counts);

/// Packs what came since the last telling; the first one only sets the beginning.
packed_counts pack_counts(told_counts& told, const std::vector<std::uint64_t>& counts,
                          std::uint32_t bits);

/// Adds what a rank told to `totals`; false, and nothing added, where the sizes don't fit.
/// An empty `totals` takes any size that `counts` names.
bool add_counts(std::vector<std::uint64_t>& totals, const packed_counts& told, std::size_t counts);

}  // namespace dewbeam::ranks
