#include "dewbeam/src/ranks/count_message.h"

#include <algorithm>
#include <utility>

namespace dewbeam::ranks {

namespace {

/// Which experts are in demand changes within seconds.
constexpr time_span shortest_counts_interval = std::chrono::milliseconds(120);
/// Bytes a second of all ranks together: 63 ranks with 2,016 counts each, told each 0.12 s, filled
/// the coordinating host's link of 8 Mbit/s, and no map was changed any more.
constexpr std::int64_t most_counts_rate = 400'000;
constexpr std::int64_t bytes_of_count = 2;

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

time_span counts_interval(std::size_t ranks, std::size_t counts)
{
    const auto bytes = static_cast<std::int64_t>(ranks * counts) * bytes_of_count;
    const std::chrono::microseconds wanted(bytes * 1'000'000 / most_counts_rate);
    return std::max<time_span>(shortest_counts_interval, wanted);
}

wire::RankCounts to_wire(const rank_counts& counted, const rank_holding& holding, double pace)
{
    wire::RankCounts result;
    result.set_formation(counted.m_formation);
    result.set_step(counted.m_step);
    const auto sent = shorten_counts(counted.m_counts);
    result.mutable_counts()->Add(sent.begin(), sent.end());
    result.set_map(holding.m_map);
    result.set_pace(pace);
    for (const auto& layer : holding.m_held) {
        result.add_held_in_layer(static_cast<std::uint32_t>(layer.size()));
        result.mutable_held()->Add(layer.begin(), layer.end());
    }
    return result;
}

experts::rank_sample from_wire(const wire::RankCounts& message, told_counts& told, time_point now)
{
    take_counts(told, {message.counts().begin(), message.counts().end()});
    experts::rank_sample result;
    result.m_formation = message.formation();
    result.m_step = message.step();
    result.m_counts = told.m_total;
    result.m_map = message.map();
    result.m_held = read_held(message);
    result.m_pace = message.pace();
    result.m_at = now;
    return result;
}

}  // namespace dewbeam::ranks
