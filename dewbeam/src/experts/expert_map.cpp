#include "dewbeam/src/experts/expert_map.h"

#include <algorithm>

namespace dewbeam::experts {

namespace {

/// Puts each expert that the rank keeps back into the slot it had.
void align_rank(const expert_id* current, expert_id* target, std::uint32_t slots)
{
    for (std::uint32_t slot = 0; slot < slots; ++slot) {
        for (std::uint32_t other = 0; other < slots; ++other) {
            const bool is_at_home = target[other] == current[other];
            if (target[other] == current[slot] && !is_at_home && target[slot] != current[slot]) {
                std::swap(target[slot], target[other]);
                break;
            }
        }
    }
}

}  // namespace

std::uint32_t slots_per_layer(const group_shape& shape)
{
    return shape.m_ranks * shape.m_slots_per_rank;
}

expert_map initial_map(const group_shape& shape)
{
    require(slots_per_layer(shape) >= shape.m_experts, "each expert needs a slot");
    layer_map layer;
    for (std::uint32_t slot = 0; slot < slots_per_layer(shape); ++slot) {
        layer.emplace_back(slot % shape.m_experts);
    }
    return {shape, std::vector<layer_map>(shape.m_layers, layer)};
}

bool is_complete(const expert_map& map)
{
    if (map.m_layers.size() != map.m_shape.m_layers) {
        return false;
    }
    for (const auto& layer : map.m_layers) {
        std::vector<bool> is_held(map.m_shape.m_experts, false);
        if (layer.size() != slots_per_layer(map.m_shape)) {
            return false;
        }
        for (const auto expert : layer) {
            if (expert.value() >= map.m_shape.m_experts) {
                return false;
            }
            is_held[expert.value()] = true;
        }
        if (std::find(is_held.begin(), is_held.end(), false) != is_held.end()) {
            return false;
        }
    }
    return true;
}

expert_map align_slots(const expert_map& current, expert_map target)
{
    const auto slots = target.m_shape.m_slots_per_rank;
    for (std::size_t layer = 0; layer < target.m_layers.size(); ++layer) {
        for (std::uint32_t rank = 0; rank < target.m_shape.m_ranks; ++rank) {
            const auto first = std::size_t{rank} * slots;
            align_rank(current.m_layers[layer].data() + first,
                       target.m_layers[layer].data() + first, slots);
        }
    }
    return target;
}

std::vector<expert_move> moves_between(const expert_map& current, const expert_map& target)
{
    std::vector<expert_move> moves;
    const auto slots = target.m_shape.m_slots_per_rank;
    for (std::uint32_t layer = 0; layer < target.m_layers.size(); ++layer) {
        for (std::uint32_t slot = 0; slot < target.m_layers[layer].size(); ++slot) {
            const auto expert = target.m_layers[layer][slot];
            const auto rank = slot / slots;
            const auto begin = current.m_layers[layer].begin() + std::ptrdiff_t{rank} * slots;
            if (std::find(begin, begin + slots, expert) == begin + slots) {
                moves.push_back({layer_id(layer), rank_id(rank), slot % slots, expert});
            }
        }
    }
    return moves;
}

layer_load load_of(const group_shape& shape, const layer_map& map, const layer_counts& counts,
                   const rank_speeds& speeds)
{
    std::vector<double> share(counts);
    std::vector<std::uint32_t> copies(shape.m_experts, 0);
    for (const auto expert : map) {
        ++copies[expert.value()];
    }
    for (std::uint32_t expert = 0; expert < shape.m_experts; ++expert) {
        share[expert] /= std::max(1U, copies[expert]);
    }
    layer_load load;
    for (std::uint32_t rank = 0; rank < shape.m_ranks; ++rank) {
        double tokens = 0;
        for (std::uint32_t slot = 0; slot < shape.m_slots_per_rank; ++slot) {
            tokens += share[map[std::size_t{rank} * shape.m_slots_per_rank + slot].value()];
        }
        load.m_mean += tokens / shape.m_ranks;
        load.m_slowest = std::max(load.m_slowest, speeds.empty() ? tokens : tokens / speeds[rank]);
    }
    return load;
}

layer_load load_of(const expert_map& map, const group_counts& counts, const rank_speeds& speeds)
{
    layer_load total;
    for (std::size_t layer = 0; layer < map.m_layers.size(); ++layer) {
        const auto load = load_of(map.m_shape, map.m_layers[layer], counts[layer], speeds);
        total.m_slowest += load.m_slowest;
        total.m_mean += load.m_mean;
    }
    return total;
}

double skew(const layer_load& load)
{
    return load.m_mean > 0 ? load.m_slowest / load.m_mean : 1.0;
}

}  // namespace dewbeam::experts
