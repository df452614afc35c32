/// \file
/// The expert map: which expert lies in which slot of which rank, layer by layer.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::experts {

/// Number of an expert inside its layer, from 0.
using expert_id = strong<struct expert_tag, std::uint32_t>;
/// Number of a layer, from 0.
using layer_id = strong<struct layer_tag, std::uint32_t>;

/// Size of a group. `m_ranks * m_slots_per_rank` is at least `m_experts`.
struct group_shape {
    std::uint32_t m_ranks = 1;
    std::uint32_t m_slots_per_rank = 1;
    std::uint32_t m_experts = 1;  ///< of each layer
    std::uint32_t m_layers = 1;

    friend bool operator==(const group_shape&, const group_shape&) = default;
};

/// Slots of one layer in all ranks.
std::uint32_t slots_per_layer(const group_shape& shape);

/// The experts of one layer: slot `i` belongs to rank `i / m_slots_per_rank`.
using layer_map = std::vector<expert_id>;

/// The experts of all layers. Tokens of an expert are split evenly over its slots.
struct expert_map {
    group_shape m_shape;
    std::vector<layer_map> m_layers;

    friend bool operator==(const expert_map&, const expert_map&) = default;
};

/// The map a group starts with: every expert in turn, over and over.
expert_map initial_map(const group_shape& shape);

/// Whether the sizes fit and each expert has at least one slot in each layer.
bool is_complete(const expert_map& map);

/// One expert's weights to fetch into one slot.
struct expert_move {
    layer_id m_layer;
    rank_id m_rank;
    std::uint32_t m_slot = 0;  ///< inside the rank
    expert_id m_expert;
};

/// `target` with the slots inside each rank reordered, so that what a rank keeps stays in place.
expert_map align_slots(const expert_map& current, expert_map target);

/// What must be fetched to get from `current` to the aligned `target`. Copies inside a rank are
/// free.
std::vector<expert_move> moves_between(const expert_map& current, const expert_map& target);

/// Tokens of each expert in one layer, for one step.
using layer_counts = std::vector<double>;
/// Tokens of each expert in all layers, for one step.
using group_counts = std::vector<layer_counts>;
/// Relative speed of each rank; 1 is normal, 0.5 takes twice as long.
using rank_speeds = std::vector<double>;

/// The busiest rank and the mean rank of one layer, in tokens at normal speed.
struct layer_load {
    double m_slowest = 0;
    double m_mean = 0;
};

/// Load of one layer under `map`. Empty `speeds`: all ranks are normal.
layer_load load_of(const group_shape& shape, const layer_map& map, const layer_counts& counts,
                   const rank_speeds& speeds = {});

/// Sum of the loads of all layers.
layer_load load_of(const expert_map& map, const group_counts& counts,
                   const rank_speeds& speeds = {});

/// Slowest rank over mean rank; 1 where there is no load.
double skew(const layer_load& load);

}  // namespace dewbeam::experts
