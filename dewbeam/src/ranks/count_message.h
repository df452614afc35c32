/// \file
/// The message in which ranks tell the coordinating one what they counted and hold.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/experts"
#include "dewbeam/src/ranks/count_wire.h"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// How counts are told in a group.
struct count_pace {
    std::uint32_t m_bits = 8;  ///< of each count: eight, or four where they would come too seldom
    time_span m_interval{};
};

/// What the link of the coordinating host bears beside the group's other messages.
/// \param tellers ranks or relays that tell the coordinating rank
/// \param counts numbers that each of them tells
/// \param link_rate bytes a second of a rank's host
count_pace pace_of(std::size_t tellers, std::size_t counts, byte_count link_rate);

/// What a rank tells. `pace`: of the rank; above 1 it is slow.
wire::RankCounts to_wire(rank_id rank, const rank_counts& counted, const rank_holding& holding,
                         double pace, std::uint32_t bits, told_counts& told);

/// What a rank tells while no coordinator is heard: that it is alive, and how far it is. There are
/// no relays then, and the counts of all ranks of a large group would overload the links of the
/// hosts that may coordinate. They are told once one does.
wire::RankCounts sign_of_life(rank_id rank, const rank_counts& counted, const rank_holding& holding,
                              double pace);

/// The counts in a message and back.
packed_counts packed_of(const wire::RankCounts& message);
void set_packed(wire::RankCounts& message, packed_counts packed, std::size_t counts);

/// The sample that a message holds; without counts, so that it fits no group, where they can't be
/// read.
experts::count_sample from_wire(const wire::RankCounts& message, time_point now);

}  // namespace dewbeam::ranks
