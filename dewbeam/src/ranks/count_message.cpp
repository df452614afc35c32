#include "dewbeam/src/ranks/count_message.h"

#include <algorithm>
#include <utility>

namespace dewbeam::ranks {

namespace {

/// Which experts are in demand changes within seconds.
constexpr time_span shortest_counts_interval = std::chrono::milliseconds(120);
/// Counts in eight bits may come this seldom.
constexpr time_span longest_fine_interval = std::chrono::milliseconds(250);
/// Part of the coordinating host's link that counts may fill: counts that fill it hold up all
/// other messages, and no map is changed any more.
constexpr std::int64_t link_parts = 2;
/// Beside the counts: what the ranks hold, and numbers.
constexpr std::int64_t other_bytes = 500;

time_span interval_with(std::size_t tellers, std::size_t counts, std::uint32_t bits,
                        byte_count link_rate)
{
    constexpr std::int64_t bits_of_byte = 8;
    const auto bytes = static_cast<std::int64_t>(counts * bits) / bits_of_byte + other_bytes;
    const auto rate = std::max<std::int64_t>(1, link_rate.m_count / link_parts);
    return std::chrono::microseconds(static_cast<std::int64_t>(tellers) * bytes * 1'000'000 / rate);
}

std::vector<std::vector<std::uint32_t>> read_held(const wire::RankState& told)
{
    std::vector<std::vector<std::uint32_t>> result;
    int first = 0;
    for (const auto size : told.held_in_layer()) {
        std::vector<std::uint32_t> layer;
        for (std::uint32_t i = 0; i < size && first < told.held_size(); ++i) {
            layer.push_back(told.held(first++));
        }
        result.push_back(std::move(layer));
    }
    return result;
}

}  // namespace

count_pace pace_of(std::size_t tellers, std::size_t counts, byte_count link_rate)
{
    constexpr std::uint32_t many = 8;
    constexpr std::uint32_t few = 4;
    const auto fine = interval_with(tellers, counts, many, link_rate);
    const auto bits = fine <= longest_fine_interval ? many : few;
    return {bits,
            std::max(shortest_counts_interval, interval_with(tellers, counts, bits, link_rate))};
}

wire::RankCounts sign_of_life(rank_id rank, const rank_counts& counted, const rank_holding& holding,
                              double pace)
{
    wire::RankCounts result;
    result.set_formation(counted.m_formation);
    auto& state = *result.add_ranks();
    state.set_rank(rank.value());
    state.set_step(counted.m_step);
    state.set_map(holding.m_map);
    state.set_pace(pace);
    return result;
}

wire::RankCounts to_wire(rank_id rank, const rank_counts& counted, const rank_holding& holding,
                         double pace, std::uint32_t bits, told_counts& told)
{
    const auto& counts = counted.m_counts;
    wire::RankCounts result;
    result.set_formation(counted.m_formation);
    result.set_steps(steps_since(told, counted.m_formation, counted.m_step, counts));
    set_packed(result, pack_counts(told, counts, bits), counts.size());
    auto& state = *result.add_ranks();
    state.set_rank(rank.value());
    state.set_step(counted.m_step);
    state.set_map(holding.m_map);
    state.set_pace(pace);
    for (const auto& layer : holding.m_held) {
        state.add_held_in_layer(static_cast<std::uint32_t>(layer.size()));
        state.mutable_held()->Add(layer.begin(), layer.end());
    }
    return result;
}

packed_counts packed_of(const wire::RankCounts& message)
{
    return {message.packed(), message.bits(), message.dropped_bits()};
}

void set_packed(wire::RankCounts& message, packed_counts packed, std::size_t counts)
{
    message.set_packed(std::move(packed.m_bytes));
    message.set_bits(packed.m_bits);
    message.set_dropped_bits(packed.m_dropped_bits);
    message.set_experts(static_cast<std::uint32_t>(counts));
}

experts::count_sample from_wire(const wire::RankCounts& message, time_point now)
{
    experts::count_sample result;
    result.m_formation = message.formation();
    result.m_steps = message.steps();
    if (!add_counts(result.m_counts, packed_of(message), message.experts())) {
        result.m_counts.clear();
    }
    for (const auto& told : message.ranks()) {
        experts::rank_state state;
        state.m_step = told.step();
        state.m_map = told.map();
        state.m_held = read_held(told);
        state.m_pace = told.pace();
        state.m_at = now;
        result.m_ranks.emplace_back(told.rank(), std::move(state));
    }
    return result;
}

}  // namespace dewbeam::ranks
