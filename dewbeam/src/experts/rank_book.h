/// \file
/// What the ranks of a group count and hold, put together by the rank that plans.
///
/// Each rank tells how often its own requests chose each expert since its start, and which experts
/// it holds. Their sum over all ranks, between two moments, is what the planner observes; what they
/// hold together is the map in force. Places that hold nothing are filled with one further expert
/// that no token ever chooses, so that the planner may use them.
#pragma once

#include <optional>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/experts/planner.h"

namespace dewbeam::experts {

/// What one rank told.
struct rank_sample {
    std::uint64_t m_formation = 0;  ///< of the group
    std::uint64_t m_step = 0;
    std::vector<std::uint64_t> m_counts;             ///< all experts of a layer, layer by layer
    std::uint64_t m_map = 0;                         ///< number of the map in force
    std::vector<std::vector<std::uint32_t>> m_held;  ///< experts by layer
    double m_pace = 1.0;                             ///< above 1: the rank is slow
    time_point m_at{};
};

/// The book. `m_shape` has the experts that there are, without the one that stands for nothing.
struct rank_book {
    group_shape m_shape;
    std::vector<std::optional<rank_sample>> m_latest;    ///< by rank
    std::vector<std::optional<rank_sample>> m_observed;  ///< when the last observation was taken
};

/// A book without any sample.
rank_book make_rank_book(const group_shape& shape);

/// A rank told something; a sample that doesn't fit the shape is passed over and gives false.
bool note(rank_book& book, rank_id rank, rank_sample sample);

/// The number of the map that all ranks hold; none while they differ or a rank is missing.
std::optional<std::uint64_t> map_number(const rank_book& book);

/// The map that the ranks hold together; none where they differ or it is incomplete.
std::optional<expert_map> map_in_force(const rank_book& book);

/// When the oldest of the latest samples came; `no_deadline` while a rank has told nothing.
time_point oldest_sample(const rank_book& book);

/// What was seen since the last observation; none before every rank has told something new in one
/// formation of the group.
std::optional<observation> take_observation(rank_book& book);

/// Experts of a map by layer and rank, without those that stand for nothing and without doubles.
std::vector<std::vector<std::vector<std::uint32_t>>> to_lists(const expert_map& map,
                                                              std::uint32_t experts);

}  // namespace dewbeam::experts
