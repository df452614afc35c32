/// \file
/// Adds up the counts of a block of ranks on their way to the rank that plans, which needs the sums
/// alone.
#pragma once

#include <map>
#include <optional>

#include "dewbeam.pb.h"
#include "dewbeam/base"
#include "dewbeam/src/ranks/count_wire.h"

namespace dewbeam::ranks {

/// What a relay has added up and not passed on.
struct count_relay {
    rank_id m_to;                   ///< who plans
    std::uint64_t m_formation = 0;  ///< of the group
    std::vector<std::uint64_t> m_totals;
    told_counts m_told;
    std::uint64_t m_steps = 0;
    std::map<std::uint32_t, wire::RankState> m_ranks;  ///< told since the last sum ...
    time_point m_began_at{};                           ///< ... the first of them then
};

/// Takes counts in; those of a later formation, or for another rank, begin anew.
/// \returns false where they can't be read
bool add(count_relay& state, rank_id to, const wire::RankCounts& counts, time_point now);

/// Whether it is time to pass the sum on: all `expected` ranks have told, or the last ones are
/// late.
bool is_due(const count_relay& state, std::size_t expected, time_point now);

/// The sum since the last one; none where nothing came.
std::optional<wire::RankCounts> take_sum(count_relay& state, std::uint32_t bits);

}  // namespace dewbeam::ranks
