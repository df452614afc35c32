/// \file
/// Aggregates the counts of a block of ranks on their way to the planning rank, which needs only
/// the sums.
#pragma once

#include <map>
#include <optional>

#include "dewbeam.pb.h"
#include "dewbeam/base"
#include "dewbeam/src/ranks/count_wire.h"

namespace dewbeam::ranks {

/// What a relay has aggregated, and how much of it has been forwarded.
struct count_relay {
    rank_id m_to;                   ///< the planning rank
    std::uint64_t m_formation = 0;  ///< formation number of the group
    std::vector<std::uint64_t> m_totals;
    reported_counts m_reported;
    std::uint64_t m_steps = 0;
    std::map<std::uint32_t, wire::RankState> m_ranks;  ///< reported since the last sum
    time_point m_started_at{};                         ///< when the first of them arrived
};

/// Adds counts. Counts of a later formation, for another planning rank or of another size start a
/// new sum; counts of an earlier formation are ignored.
/// \returns false if the counts can't be read
bool add(count_relay& state, rank_id to, const wire::RankCounts& counts, time_point now);

/// Whether the sum is due: all `expected` ranks have reported, or the wait for the others has timed
/// out.
bool is_due(const count_relay& state, std::size_t expected, time_point now);

/// The sum since the last one; none if no report arrived.
std::optional<wire::RankCounts> take_sum(count_relay& state, std::uint32_t bits);

}  // namespace dewbeam::ranks
