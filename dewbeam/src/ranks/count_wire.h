/// \file
/// Encoding of expert choice counts sent to the planning rank, with four or eight bits per count.
///
/// Only the choices since the last report matter, to within a few percent of the most popular
/// expert: the rounding errors of many ranks even out. What one report rounds off is sent with a
/// later one, so that sums stay exact.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace dewbeam::ranks {

/// Choices since the last report, in `m_bits` bits each, without their lowest `m_dropped_bits`.
struct packed_counts {
    std::string m_bytes;
    std::uint32_t m_bits = 8;  ///< 4 or 8
    std::uint32_t m_dropped_bits = 0;
};

/// What a rank has reported so far. Counts that decrease come from an engine that has restarted;
/// they become the new baseline.
struct reported_counts {
    std::vector<std::uint64_t> m_reported;
    std::uint64_t m_formation = 0;  ///< of the group, at the last report
    std::uint64_t m_step = 0;       ///< likewise at the last report
};

/// The number of steps that the next report covers, 0 if the counts don't continue the last one.
/// Records the report as sent.
std::uint64_t steps_since(reported_counts& reported, std::uint64_t formation, std::uint64_t step,
                          const std::vector<std::uint64_t>& counts);

/// Packs the choices since the last report. The first report only sets the baseline.
packed_counts pack_counts(reported_counts& reported, const std::vector<std::uint64_t>& counts,
                          std::uint32_t bits);

/// Adds a rank's reported counts to `totals`, which is resized to `counts` entries.
/// \returns false, with nothing added, if the sizes don't match
bool add_counts(std::vector<std::uint64_t>& totals, const packed_counts& reported,
                std::size_t counts);

}  // namespace dewbeam::ranks
