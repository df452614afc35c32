/// \file
/// The message in which ranks report their expert counts and held experts to the coordinator.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/experts"
#include "dewbeam/src/ranks/count_wire.h"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// How the ranks of a group report their counts.
struct report_parameters {
    std::uint32_t m_bits = 8;  ///< per count: 8, or 4 if reports would be too infrequent
    time_span m_interval{};
};

/// Count width and report interval that leave room on the coordinator's link for the group's other
/// messages.
/// \param reporters ranks or relays that send their counts to the coordinator
/// \param counts number of counts in each of their messages
/// \param link_rate bandwidth of a rank's host in bytes per second
report_parameters report_parameters_for(std::size_t reporters, std::size_t counts,
                                        byte_count link_rate);

/// The report of a rank. `slowdown` is the rank's; a rank above 1 is slow.
wire::RankCounts to_wire(rank_id rank, const rank_counts& counted, const rank_holding& holding,
                         double slowdown, std::uint32_t bits, reported_counts& reported);

/// The report of a rank that has no contact with a coordinator: only that it is alive, and its
/// current step. No relays are in use then, and the counts of all ranks of a large group would
/// overload the links of the hosts that may coordinate. Counts are sent once one of them does.
wire::RankCounts liveness_report(rank_id rank, const rank_counts& counted,
                                 const rank_holding& holding, double slowdown);

/// Reads the counts of a message, and writes them into one.
packed_counts packed_of(const wire::RankCounts& message);
void set_packed(wire::RankCounts& message, packed_counts packed, std::size_t counts);

/// The sample in a message. If the counts can't be read, the sample has none and therefore matches
/// no group's size.
experts::count_sample from_wire(const wire::RankCounts& message, time_point now);

}  // namespace dewbeam::ranks
