/// \file
/// The message in which a rank tells the coordinating one what it counted and holds.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/experts"
#include "dewbeam/src/ranks/count_wire.h"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// Bits of each count in a message: eight, or four in a group whose counts would come too seldom.
/// \param counts numbers that each rank tells
std::uint32_t count_bits(std::size_t ranks, std::size_t counts);

/// How often a rank tells. All ranks together stay below a rate that the link of the coordinating
/// host bears.
time_span counts_interval(std::size_t ranks, std::size_t counts);

/// What a rank of so many tells. `pace`: of the rank; above 1 it is slow.
wire::RankCounts to_wire(const rank_counts& counted, const rank_holding& holding, double pace,
                         std::size_t ranks, told_counts& told);

/// The sample that a message holds; `totals` adds up what the same rank told. A sample without
/// counts, which fits no group, where they can't be read.
experts::rank_sample from_wire(const wire::RankCounts& message, std::vector<std::uint64_t>& totals,
                               time_point now);

}  // namespace dewbeam::ranks
