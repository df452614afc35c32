/// \file
/// The message in which a rank tells the coordinating one what it counted and holds.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/experts"
#include "dewbeam/src/ranks/count_wire.h"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// How often a rank tells. Large groups tell less often, so that all ranks together stay below a
/// rate that the link of the coordinating host bears.
/// \param counts numbers that each rank tells
time_span counts_interval(std::size_t ranks, std::size_t counts);

/// What a rank tells. `pace`: of the rank; above 1 it is slow.
wire::RankCounts to_wire(const rank_counts& counted, const rank_holding& holding, double pace);

/// The sample that a message holds; `told` is what the same rank told before.
experts::rank_sample from_wire(const wire::RankCounts& message, told_counts& told, time_point now);

}  // namespace dewbeam::ranks
