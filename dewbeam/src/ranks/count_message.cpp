#include "dewbeam/src/ranks/count_message.h"

#include <algorithm>
#include <utility>

namespace dewbeam::ranks {

namespace {

/// Which experts are in demand changes within seconds.
constexpr time_span shortest_counts_interval = std::chrono::milliseconds(120);
/// Bytes a second of all ranks together: half of a link of 8 Mbit/s. Counts that filled the link
/// held up all other messages, and no map was changed any more.
constexpr std::int64_t most_counts_rate = 500'000;
/// Beside the counts: what the rank holds, and numbers.
constexpr std::int64_t other_bytes = 100;

time_span interval_with(std::size_t ranks, std::size_t counts, std::uint32_t bits)
{
    constexpr std::int64_t bits_of_byte = 8;
    const auto bytes = static_cast<std::int64_t>(counts * bits) / bits_of_byte + other_bytes;
    return std::chrono::microseconds(static_cast<std::int64_t>(ranks) * bytes * 1'000'000 /
                                     most_counts_rate);
}

std::vector<std::vector<std::uint32_t>> read_held(const wire::RankCounts& message)
{
    std::vector<std::vector<std::uint32_t>> result;
    int first = 0;
    for (const auto size : message.held_in_layer()) {
        std::vector<std::uint32_t> layer;
        for (std::uint32_t i = 0; i < size && first < message.held_size(); ++i) {
            layer.push_back(message.held(first++));
        }
        result.push_back(std::move(layer));
    }
    return result;
}

}  // namespace

std::uint32_t count_bits(std::size_t ranks, std::size_t counts)
{
    constexpr std::uint32_t many = 8;
    constexpr std::uint32_t few = 4;
    return interval_with(ranks, counts, many) <= shortest_counts_interval ? many : few;
}

time_span counts_interval(std::size_t ranks, std::size_t counts)
{
    return std::max(shortest_counts_interval,
                    interval_with(ranks, counts, count_bits(ranks, counts)));
}

wire::RankCounts to_wire(const rank_counts& counted, const rank_holding& holding, double pace,
                         std::size_t ranks, told_counts& told)
{
    const auto& counts = counted.m_counts;
    auto packed = pack_counts(told, counts, count_bits(ranks, counts.size()));
    wire::RankCounts result;
    result.set_formation(counted.m_formation);
    result.set_step(counted.m_step);
    result.set_packed(std::move(packed.m_bytes));
    result.set_bits(packed.m_bits);
    result.set_dropped_bits(packed.m_dropped_bits);
    result.set_experts(static_cast<std::uint32_t>(counts.size()));
    result.set_map(holding.m_map);
    result.set_pace(pace);
    for (const auto& layer : holding.m_held) {
        result.add_held_in_layer(static_cast<std::uint32_t>(layer.size()));
        result.mutable_held()->Add(layer.begin(), layer.end());
    }
    return result;
}

experts::rank_sample from_wire(const wire::RankCounts& message, std::vector<std::uint64_t>& totals,
                               time_point now)
{
    const packed_counts packed{message.packed(), message.bits(), message.dropped_bits()};
    experts::rank_sample result;
    result.m_formation = message.formation();
    result.m_step = message.step();
    if (add_counts(totals, packed, message.experts())) {
        result.m_counts = totals;
    }
    result.m_map = message.map();
    result.m_held = read_held(message);
    result.m_pace = message.pace();
    result.m_at = now;
    return result;
}

}  // namespace dewbeam::ranks
