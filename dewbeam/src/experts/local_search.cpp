#include "dewbeam/src/experts/local_search.h"

#include <algorithm>
#include <array>

namespace dewbeam::experts {

namespace {

/// The potential is the sum of a power of the ranks' loads relative to the mean: mostly the
/// busiest ranks, but ties count too. The exponent is 2 to the power of this; it rises when no
/// change helps any more, from smoothing all busy ranks towards the busiest alone.
constexpr unsigned first_squarings = 4;
constexpr unsigned last_squarings = 6;

/// Loads of one layer, kept up to date while slots change.
class layer_state {
public:
    layer_state(const group_shape& shape, const layer_map& map, const layer_counts& counts,
                const rank_speeds& speeds, std::uint32_t most_new)
        : m_shape(shape),
          m_map(map),
          m_counts(counts),
          m_weights(shape.m_ranks, 1.0),
          m_holders(shape.m_experts),
          m_loads(shape.m_ranks, 0.0),
          m_loads_before(shape.m_ranks, 0.0),
          m_powers(shape.m_ranks, 0.0),
          m_deltas(shape.m_ranks, 0.0),
          m_share(shape.m_experts, 0.0),
          m_share_with_copy(shape.m_experts, 0.0),
          m_relief(shape.m_experts, 0.0),
          m_hurt(shape.m_experts, 0.0),
          m_is_stale(shape.m_experts, 1),
          m_is_held(std::size_t{shape.m_ranks} * shape.m_experts, 0),
          m_new(shape.m_ranks, 0),
          m_most_new(most_new)
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
        m_was_held = m_is_held;
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

    /// Tokens of each slot of an expert.
    [[nodiscard]] double share(expert_id expert) const { return m_share[expert.value()]; }

    /// Load of a rank after it took `tokens` more, or fewer where negative.
    [[nodiscard]] double load_with(std::uint32_t rank, double tokens) const
    {
        return m_loads[rank] + tokens * m_weights[rank];
    }

    [[nodiscard]] std::size_t copies(expert_id expert) const
    {
        return m_holders[expert.value()].size();
    }

    [[nodiscard]] bool rank_holds(std::uint32_t rank, expert_id expert) const
    {
        return m_is_held[std::size_t{rank} * m_shape.m_experts + expert.value()] != 0;
    }

    /// Whether the rank may take the expert without taking too many new ones.
    [[nodiscard]] bool may_take(std::uint32_t rank, expert_id expert) const
    {
        return m_most_new == 0 || m_new[rank] < m_most_new || was_held(rank, expert);
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

    /// Looks at the busiest ranks more sharply; false where that was done to the last.
    bool sharpen()
    {
        if (m_squarings == last_squarings) {
            return false;
        }
        ++m_squarings;
        for (std::uint32_t rank = 0; rank < m_loads.size(); ++rank) {
            refresh_rank(rank);
        }
        return true;
    }

    /// Brings the estimates up to date; the `estimate_` functions need it after each change.
    void prepare_estimates()
    {
        for (std::uint32_t expert = 0; expert < m_shape.m_experts; ++expert) {
            if (m_is_stale[expert] != 0) {
                estimate_copies(expert);
                m_is_stale[expert] = 0;
            }
        }
        m_slowest = slowest();
    }

    /// `gain_of_replacing`, but for ranks that hold both experts. Takes constant time; 0 where
    /// the rank would become the busiest.
    [[nodiscard]] double estimate_replacing(std::uint32_t slot, expert_id taken) const
    {
        const auto rank = rank_of(slot);
        const auto dropped = m_map[slot].value();
        const double load = load_with(rank, m_share_with_copy[taken.value()] - m_share[dropped]);
        if (load >= m_slowest) {
            return 0;
        }
        return m_relief[taken.value()] + m_hurt[dropped] + m_powers[rank] - power(load / m_mean);
    }

    /// `gain_of_swapping`; 0 where a rank would become the busiest.
    [[nodiscard]] double estimate_swapping(std::uint32_t slot, std::uint32_t other) const
    {
        const double difference = share(m_map[other]) - share(m_map[slot]);
        const auto rank = rank_of(slot);
        const auto other_rank = rank_of(other);
        const double load = load_with(rank, difference);
        const double other_load = load_with(other_rank, -difference);
        if (load >= m_slowest || other_load >= m_slowest) {
            return 0;
        }
        return m_powers[rank] + m_powers[other_rank] - power(load / m_mean) -
               power(other_load / m_mean);
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
        count_new(rank_of(step.m_slot), step.m_expert);
        if (step.m_is_swap) {
            count_new(rank_of(step.m_other_slot), m_map[step.m_slot]);
        }
        m_is_stale[m_map[step.m_slot].value()] = 1;
        m_is_stale[step.m_expert.value()] = 1;
        apply(m_map, step);
        refresh();
    }

private:
    static constexpr double least_speed = 0.01;
    static constexpr double smallest_mean = 1e-12;

    /// Brings shares, loads and powers up to date, and marks the experts of ranks that changed.
    void refresh()
    {
        for (std::uint32_t expert = 0; expert < m_shape.m_experts; ++expert) {
            m_share[expert] = m_counts[expert] / static_cast<double>(m_holders[expert].size());
        }
        m_loads_before = m_loads;
        std::fill(m_loads.begin(), m_loads.end(), 0.0);
        std::fill(m_is_held.begin(), m_is_held.end(), 0);
        for (std::uint32_t slot = 0; slot < m_map.size(); ++slot) {
            m_is_held[std::size_t{rank_of(slot)} * m_shape.m_experts + m_map[slot].value()] = 1;
            m_loads[rank_of(slot)] += share(m_map[slot]) * m_weights[rank_of(slot)];
        }
        for (std::uint32_t rank = 0; rank < m_loads.size(); ++rank) {
            if (m_loads[rank] != m_loads_before[rank]) {
                refresh_rank(rank);
            }
        }
    }

    void refresh_rank(std::uint32_t rank)
    {
        m_powers[rank] = power(m_loads[rank] / m_mean);
        for (auto slot = first_slot(rank); slot < first_slot(rank + 1); ++slot) {
            m_is_stale[m_map[slot].value()] = 1;
        }
    }

    void count_new(std::uint32_t rank, expert_id expert)
    {
        m_new[rank] += was_held(rank, expert) ? 0 : 1;
    }

    [[nodiscard]] bool was_held(std::uint32_t rank, expert_id expert) const
    {
        return m_was_held[std::size_t{rank} * m_shape.m_experts + expert.value()] != 0;
    }

    void move_holder(expert_id expert, std::uint32_t from, std::uint32_t to)
    {
        auto& holders = m_holders[expert.value()];
        *std::find(holders.begin(), holders.end(), from) = to;
    }

    [[nodiscard]] double power(double value) const
    {
        for (unsigned i = 0; i < m_squarings; ++i) {
            value *= value;
        }
        return value;
    }

    /// What one copy more or less of an expert does at its holders.
    void estimate_copies(std::uint32_t expert)
    {
        const auto copies_now = static_cast<double>(m_holders[expert].size());
        m_share_with_copy[expert] = m_counts[expert] / (copies_now + 1);
        m_relief[expert] = gain_at_holders(expert, m_share_with_copy[expert] - m_share[expert]);
        if (copies_now > 1) {
            m_hurt[expert] =
                gain_at_holders(expert, m_counts[expert] / (copies_now - 1) - m_share[expert]);
        }
    }

    [[nodiscard]] double gain_at_holders(std::uint32_t expert, double tokens) const
    {
        double gain = 0;
        for (const auto rank : m_holders[expert]) {
            gain += m_powers[rank] - power((m_loads[rank] + tokens * m_weights[rank]) / m_mean);
        }
        return gain;
    }

    void change(std::uint32_t rank, double tokens)
    {
        m_deltas[rank] += tokens;
        m_touched.push_back(rank);
    }

    /// 0 where a rank would become busier than the busiest one is: the potential may fall all the
    /// same when several ranks lose a little.
    double settle_gain()
    {
        double gain = 0;
        double busiest = 0;
        for (const auto rank : m_touched) {
            const double delta = m_deltas[rank];
            m_deltas[rank] = 0;
            if (delta != 0) {
                const double load = m_loads[rank] + delta * m_weights[rank];
                gain += m_powers[rank] - power(load / m_mean);
                busiest = std::max(busiest, load);
            }
        }
        m_touched.clear();
        return busiest > m_slowest ? 0.0 : gain;
    }

    const group_shape& m_shape;
    layer_map m_map;
    const layer_counts& m_counts;
    std::vector<double> m_weights;
    std::vector<std::vector<std::uint32_t>> m_holders;
    std::vector<double> m_loads;
    std::vector<double> m_loads_before;
    std::vector<double> m_powers;
    std::vector<double> m_deltas;
    std::vector<std::uint32_t> m_touched;
    std::vector<double> m_share;
    std::vector<double> m_share_with_copy;  ///< when the expert has a slot more
    std::vector<double> m_relief;          ///< gain at the holders when the expert gets a copy more
    std::vector<double> m_hurt;            ///< gain at the holders, negative, when it gets one less
    std::vector<std::uint8_t> m_is_stale;  ///< experts whose estimates must be made anew
    std::vector<std::uint8_t> m_is_held;   ///< by rank, then expert
    std::vector<std::uint8_t> m_was_held;  ///< the same, before the first change
    std::vector<std::uint32_t> m_new;      ///< experts that a rank took and did not hold then
    std::uint32_t m_most_new = 0;          ///< 0: no limit
    double m_mean = 0;
    double m_slowest = 0;
    unsigned m_squarings = first_squarings;
};

/// The most promising changes of one round, by estimated gain for each fetch.
class short_list {
public:
    void offer(const layer_change& change, double gain)
    {
        const double worth = gain / fetches_of(change);
        auto& least = m_items[m_least];
        if (worth > least.m_worth) {
            least = {change, worth};
            m_least = least_index();
        }
    }

    /// The change whose exact gain is greatest; none where `found` stays false.
    layer_change best(layer_state& state, bool& found) const
    {
        constexpr double least_gain = 1e-6;
        item best{{}, least_gain};
        for (const auto& candidate : m_items) {
            if (candidate.m_worth <= 0) {
                continue;
            }
            const auto& change = candidate.m_change;
            const double gain = change.m_is_swap
                                    ? state.gain_of_swapping(change.m_slot, change.m_other_slot)
                                    : state.gain_of_replacing(change.m_slot, change.m_expert);
            if (gain / fetches_of(change) > best.m_worth) {
                best = {change, gain / fetches_of(change)};
                found = true;
            }
        }
        return best.m_change;
    }

private:
    struct item {
        layer_change m_change;
        double m_worth = 0;
    };

    [[nodiscard]] std::size_t least_index() const
    {
        const auto is_less = [](const item& a, const item& b) { return a.m_worth < b.m_worth; };
        return static_cast<std::size_t>(std::min_element(m_items.begin(), m_items.end(), is_less) -
                                        m_items.begin());
    }

    std::array<item, 6> m_items{};
    std::size_t m_least = 0;
};

/// The busiest rank drops an expert that has other slots and takes any other.
void try_dropping(const layer_state& state, std::uint32_t busiest, const group_shape& shape,
                  short_list& list)
{
    const auto first = state.first_slot(busiest);
    for (auto slot = first; slot < first + shape.m_slots_per_rank; ++slot) {
        if (state.copies(state.map()[slot]) < 2) {
            continue;
        }
        for (std::uint32_t expert = 0; expert < shape.m_experts; ++expert) {
            const expert_id taken(expert);
            if (!state.rank_holds(busiest, taken) && state.may_take(busiest, taken)) {
                list.offer({slot, taken}, state.estimate_replacing(slot, taken));
            }
        }
    }
}

/// Another rank takes a further copy of one of the busiest rank's experts.
void try_copying(const layer_state& state, std::uint32_t busiest, const group_shape& shape,
                 short_list& list)
{
    const auto first = state.first_slot(busiest);
    for (std::uint32_t slot = 0; slot < state.map().size(); ++slot) {
        const auto rank = state.rank_of(slot);
        if (rank == busiest || state.copies(state.map()[slot]) < 2) {
            continue;
        }
        for (auto hot = first; hot < first + shape.m_slots_per_rank; ++hot) {
            const auto taken = state.map()[hot];
            if (!state.rank_holds(rank, taken) && state.may_take(rank, taken)) {
                list.offer({slot, taken}, state.estimate_replacing(slot, taken));
            }
        }
    }
}

/// The busiest rank swaps an expert for a lighter one.
void try_swapping(const layer_state& state, std::uint32_t busiest, const group_shape& shape,
                  short_list& list)
{
    const auto first = state.first_slot(busiest);
    for (auto slot = first; slot < first + shape.m_slots_per_rank; ++slot) {
        const auto given = state.map()[slot];
        for (std::uint32_t other = 0; other < state.map().size(); ++other) {
            const auto rank = state.rank_of(other);
            const auto taken = state.map()[other];
            if (state.share(taken) < state.share(given) && !state.rank_holds(rank, given) &&
                !state.rank_holds(busiest, taken) && state.may_take(rank, given) &&
                state.may_take(busiest, taken)) {
                list.offer({slot, taken, true, other}, state.estimate_swapping(slot, other));
            }
        }
    }
}

}  // namespace

std::vector<layer_change> search_layer(const group_shape& shape, const layer_map& map,
                                       const layer_counts& counts, const rank_speeds& speeds,
                                       const search_limits& limits)
{
    layer_state state(shape, map, counts, speeds, limits.m_most_new_per_rank);
    std::vector<layer_change> changes;
    while (changes.size() < limits.m_most_changes &&
           state.slowest() > state.mean() * limits.m_target_skew) {
        short_list list;
        const auto busiest = state.busiest();
        state.prepare_estimates();
        try_dropping(state, busiest, shape, list);
        try_copying(state, busiest, shape, list);
        try_swapping(state, busiest, shape, list);
        bool found = false;
        auto change = list.best(state, found);
        if (!found && state.sharpen()) {
            continue;
        }
        if (!found) {
            break;
        }
        state.apply_change(change);
        change.m_slowest_after = state.slowest();
        changes.push_back(change);
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
