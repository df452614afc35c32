/// \file
/// What the ranks of a group count and hold, put together by the rank that plans.
///
/// Each rank tells how often its own requests chose each expert since it told last, in how many
/// steps, and which experts it holds. The sum over ranks and steps is what the planner observes;
/// what they hold together is the map in force. Places that hold nothing are filled with one
/// further expert that no token ever chooses, so that the planner may use them.
#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/experts/planner.h"

namespace dewbeam::experts {

/// Where one rank stands.
struct rank_state {
    std::uint64_t m_step = 0;
    std::uint64_t m_map = 0;                         ///< number of the map in force
    std::vector<std::vector<std::uint32_t>> m_held;  ///< experts by layer
    double m_pace = 1.0;                             ///< above 1: the rank is slow
    time_point m_at{};
};

/// What one rank told, or several together.
struct count_sample {
    std::uint64_t m_formation = 0;        ///< of the group
    std::vector<std::uint64_t> m_counts;  ///< since the last telling; all experts, layer by layer
    std::uint64_t m_steps = 0;  ///< of these ranks, added up, in which the choices were made
    std::vector<std::pair<rank_id, rank_state>> m_ranks;
};

/// The book. `m_shape` has the experts that there are, without the one that stands for nothing.
struct rank_book {
    group_shape m_shape;
    /// Of the group; what is told of an earlier one is dropped.
    std::optional<std::uint64_t> m_formation{};
    std::vector<std::optional<rank_state>> m_latest;  ///< by rank
    std::vector<std::optional<rank_state>>
        m_observed;                       ///< at the last observation, without `m_held`
    std::vector<bool> m_has_news;         ///< by rank: told since then
    std::vector<std::uint64_t> m_counts;  ///< since then
    std::uint64_t m_steps = 0;            ///< of all ranks, added up, since then
    std::uint64_t m_observed_map = 0;     ///< in force where the last observation was measured
    time_point m_observed_at{};           ///< or when the formation began to tell
};

/// A book without any sample.
rank_book make_rank_book(const group_shape& shape);

/// Something was told; a sample that doesn't fit the shape is passed over and gives false.
bool note(rank_book& book, count_sample sample, time_point now);

/// The number of the map that all ranks hold; none while they differ or a rank is missing.
std::optional<std::uint64_t> map_number(const rank_book& book);

/// The map that the ranks hold together; none where they differ or it is incomplete.
std::optional<expert_map> map_in_force(const rank_book& book);

/// Ranks that told nothing since the last observation.
std::vector<rank_id> silent_ranks(const rank_book& book);

/// What was seen since the last observation; none before every rank has told something new. Some
/// late ranks are not waited for: all ranks serve the same demand, so that the others' counts stand
/// for theirs.
std::optional<observation> take_observation(rank_book& book, time_point now);

/// Experts of a map by layer and rank, without those that stand for nothing and without doubles.
std::vector<std::vector<std::vector<std::uint32_t>>> to_lists(const expert_map& map,
                                                              std::uint32_t experts);

}  // namespace dewbeam::experts
