#include "dewbeam/src/experts/local_search.h"

#include <algorithm>

namespace dewbeam::experts {

namespace {

/// Sum of the eighth powers of the ranks' loads relative to the mean: mostly the busiest ranks,
/// but ties count too.
double eighth_power(double value)
{
    const double square = value * value;
    const double fourth = square * square;
    return fourth * fourth;
}

/// Loads of one layer, kept up to date while slots change.
class layer_state {
public:
    layer_state(const group_shape& shape, const layer_map& map, const layer_counts& counts,
                const rank_speeds& speeds)
        : m_shape(shape),
          m_map(map),
          m_counts(counts),
          m_weights(shape.m_ranks, 1.0),
          m_holders(shape.m_experts),
          m_loads(shape.m_ranks, 0.0),
          m_powers(shape.m_ranks, 0.0),
          m_deltas(shape.m_ranks, 0.0)
    {
        for (std::uint32_t rank = 0; rank < shape.m_ranks && !speeds.empty(); ++rank) {
            m_weights[rank] = 1.0 / std::max(speeds[rank], least_speed);
        }
        for (std::uint32_t slot = 0; slot < map.size(); ++slot) {
            m_holders[map[slot].value()].push_back(rank_of(slot));
        }
        double total = 0;
        for (const auto count : counts) {
            total += count;
        }
        m_mean = std::max(total / shape.m_ranks, smallest_mean);
        refresh();
    }

    [[nodiscard]] std::uint32_t busiest() const
    {
        return static_cast<std::uint32_t>(std::max_element(m_loads.begin(), m_loads.end()) -
                                          m_loads.begin());
    }

    [[nodiscard]] double slowest() const { return m_loads[busiest()]; }
    [[nodiscard]] double mean() const { return m_mean; }
    [[nodiscard]] const layer_map& map() const { return m_map; }

    [[nodiscard]] std::uint32_t first_slot(std::uint32_t rank) const
    {
        return rank * m_shape.m_slots_per_rank;
    }

    [[nodiscard]] std::uint32_t rank_of(std::uint32_t slot) const
    {
        return slot / m_shape.m_slots_per_rank;
    }

    [[nodiscard]] double load(std::uint32_t rank) const { return m_loads[rank]; }

    [[nodiscard]] double share(expert_id expert) const
    {
        return m_counts[expert.value()] / static_cast<double>(copies(expert));
    }

    [[nodiscard]] std::size_t copies(expert_id expert) const
    {
        return m_holders[expert.value()].size();
    }

    [[nodiscard]] bool rank_holds(std::uint32_t rank, expert_id expert) const
    {
        const auto begin = m_map.begin() + first_slot(rank);
        return std::find(begin, begin + m_shape.m_slots_per_rank, expert) !=
               begin + m_shape.m_slots_per_rank;
    }

    /// Fall of the potential when `slot` takes `taken`; its expert keeps other slots.
    double gain_of_replacing(std::uint32_t slot, expert_id taken)
    {
        const auto dropped = m_map[slot];
        const auto old_share = share(dropped);
        const auto new_share = m_counts[dropped.value()] / static_cast<double>(copies(dropped) - 1);
        for (const auto rank : m_holders[dropped.value()]) {
            change(rank, new_share - old_share);
        }
        const auto taken_before = share(taken);
        const auto taken_after = m_counts[taken.value()] / static_cast<double>(copies(taken) + 1);
        for (const auto rank : m_holders[taken.value()]) {
            change(rank, taken_after - taken_before);
        }
        change(rank_of(slot), taken_after - new_share);
        return settle_gain();
    }

    /// Fall of the potential when two slots of different ranks swap their experts.
    double gain_of_swapping(std::uint32_t slot, std::uint32_t other)
    {
        const double difference = share(m_map[other]) - share(m_map[slot]);
        change(rank_of(slot), difference);
        change(rank_of(other), -difference);
        return settle_gain();
    }

    void apply_change(const layer_change& step)
    {
        if (step.m_is_swap) {
            move_holder(m_map[step.m_slot], rank_of(step.m_slot), rank_of(step.m_other_slot));
            move_holder(m_map[step.m_other_slot], rank_of(step.m_other_slot), rank_of(step.m_slot));
        }
        else {
            auto& holders = m_holders[m_map[step.m_slot].value()];
            holders.erase(std::find(holders.begin(), holders.end(), rank_of(step.m_slot)));
            m_holders[step.m_expert.value()].push_back(rank_of(step.m_slot));
        }
        apply(m_map, step);
        refresh();
    }

private:
    static constexpr double least_speed = 0.01;
    static constexpr double smallest_mean = 1e-12;

    void refresh()
    {
        std::fill(m_loads.begin(), m_loads.end(), 0.0);
        for (std::uint32_t slot = 0; slot < m_map.size(); ++slot) {
            m_loads[rank_of(slot)] += share(m_map[slot]) * m_weights[rank_of(slot)];
        }
        for (std::uint32_t rank = 0; rank < m_loads.size(); ++rank) {
            m_powers[rank] = eighth_power(m_loads[rank] / m_mean);
        }
    }

    void move_holder(expert_id expert, std::uint32_t from, std::uint32_t to)
    {
        auto& holders = m_holders[expert.value()];
        *std::find(holders.begin(), holders.end(), from) = to;
    }

    void change(std::uint32_t rank, double tokens)
    {
        m_deltas[rank] += tokens;
        m_touched.push_back(rank);
    }

    double settle_gain()
    {
        double gain = 0;
        for (const auto rank : m_touched) {
            const double delta = m_deltas[rank];
            m_deltas[rank] = 0;
            if (delta != 0) {
                const double load = m_loads[rank] + delta * m_weights[rank];
                gain += m_powers[rank] - eighth_power(load / m_mean);
            }
        }
        m_touched.clear();
        return gain;
    }

    const group_shape& m_shape;
    layer_map m_map;
    const layer_counts& m_counts;
    std::vector<double> m_weights;
    std::vector<std::vector<std::uint32_t>> m_holders;
    std::vector<double> m_loads;
    std::vector<double> m_powers;
    std::vector<double> m_deltas;
    std::vector<std::uint32_t> m_touched;
    double m_mean = 0;
};

/// The best change found so far, by gain for each fetch.
struct best_change {
    layer_change m_change;
    double m_gain = 0;

    void offer(const layer_change& change, double gain)
    {
        const double worth = gain / fetches_of(change);
        if (worth > m_gain) {
            m_gain = worth;
            m_change = change;
        }
    }
};

/// The busiest rank drops an expert that has other slots and takes any other.
void try_dropping(layer_state& state, std::uint32_t busiest, const group_shape& shape,
                  best_change& best)
{
    const auto first = state.first_slot(busiest);
    for (auto slot = first; slot < first + shape.m_slots_per_rank; ++slot) {
        if (state.copies(state.map()[slot]) < 2) {
            continue;
        }
        for (std::uint32_t expert = 0; expert < shape.m_experts; ++expert) {
            const expert_id taken(expert);
            if (!state.rank_holds(busiest, taken)) {
                best.offer({slot, taken}, state.gain_of_replacing(slot, taken));
            }
        }
    }
}

/// Another rank takes a further copy of one of the busiest rank's experts.
void try_copying(layer_state& state, std::uint32_t busiest, const group_shape& shape,
                 best_change& best)
{
    const auto first = state.first_slot(busiest);
    for (auto hot = first; hot < first + shape.m_slots_per_rank; ++hot) {
        const auto taken = state.map()[hot];
        for (std::uint32_t slot = 0; slot < state.map().size(); ++slot) {
            const auto rank = state.rank_of(slot);
            const bool can_drop = state.copies(state.map()[slot]) > 1;
            if (can_drop && state.load(rank) < state.mean() * 1.2 &&
                !state.rank_holds(rank, taken)) {
                best.offer({slot, taken}, state.gain_of_replacing(slot, taken));
            }
        }
    }
}

/// The busiest rank swaps an expert for a lighter one.
void try_swapping(layer_state& state, std::uint32_t busiest, const group_shape& shape,
                  best_change& best)
{
    const auto first = state.first_slot(busiest);
    for (auto slot = first; slot < first + shape.m_slots_per_rank; ++slot) {
        const auto given = state.map()[slot];
        for (std::uint32_t other = 0; other < state.map().size(); ++other) {
            const auto rank = state.rank_of(other);
            const auto taken = state.map()[other];
            if (rank != busiest && state.share(taken) < state.share(given) &&
                !state.rank_holds(rank, given) && !state.rank_holds(busiest, taken)) {
                best.offer({slot, taken, true, other}, state.gain_of_swapping(slot, other));
            }
        }
    }
}

}  // namespace

std::vector<layer_change> search_layer(const group_shape& shape, const layer_map& map,
                                       const layer_counts& counts, const rank_speeds& speeds,
                                       const search_limits& limits)
{
    constexpr double least_gain = 1e-6;
    layer_state state(shape, map, counts, speeds);
    std::vector<layer_change> changes;
    while (changes.size() < limits.m_most_changes &&
           state.slowest() > state.mean() * limits.m_target_skew) {
        best_change best;
        const auto busiest = state.busiest();
        try_dropping(state, busiest, shape, best);
        try_copying(state, busiest, shape, best);
        try_swapping(state, busiest, shape, best);
        if (best.m_gain < least_gain) {
            break;
        }
        state.apply_change(best.m_change);
        best.m_change.m_slowest_after = state.slowest();
        changes.push_back(best.m_change);
    }
    return changes;
}

void apply(layer_map& map, const layer_change& change)
{
    if (change.m_is_swap) {
        map[change.m_other_slot] = map[change.m_slot];
    }
    map[change.m_slot] = change.m_expert;
}

std::uint32_t fetches_of(const layer_change& change)
{
    return change.m_is_swap ? 2 : 1;
}

}  // namespace dewbeam::experts
