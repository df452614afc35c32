#include "dewbeam/src/ranks/count_message.h"

#include <algorithm>
#include <utility>

namespace dewbeam::ranks {

namespace {

/// Expert demand changes within seconds, so reports must come several times a second.
constexpr time_span min_counts_interval = std::chrono::milliseconds(120);
/// Longest report interval at which counts are still sent with eight bits each; above it they are
/// sent with four bits.
constexpr time_span max_fine_interval = std::chrono::milliseconds(250);
/// Counts may use one part in this many of the coordinator's link. If counts fill the link, all
/// other messages are delayed and map changes no longer complete.
constexpr std::int64_t link_parts = 2;
/// Allowance per message for everything other than the counts: held experts and numeric fields.
constexpr std::int64_t other_bytes = 500;

time_span interval_with(std::size_t reporters, std::size_t counts, std::uint32_t bits,
                        byte_count link_rate)
{
    constexpr std::int64_t bits_of_byte = 8;
    const auto bytes = static_cast<std::int64_t>(counts * bits) / bits_of_byte + other_bytes;
    const auto rate = std::max<std::int64_t>(1, link_rate.m_count / link_parts);
    return std::chrono::microseconds(static_cast<std::int64_t>(reporters) * bytes * 1'000'000 /
                                     rate);
}

std::vector<std::vector<std::uint32_t>> read_held(const wire::RankState& reported)
{
    std::vector<std::vector<std::uint32_t>> result;
    int first = 0;
    for (const auto size : reported.held_in_layer()) {
        std::vector<std::uint32_t> layer;
        for (std::uint32_t i = 0; i < size && first < reported.held_size(); ++i) {
            layer.push_back(reported.held(first++));
        }
        result.push_back(std::move(layer));
    }
    return result;
}

}  // namespace

report_parameters report_parameters_for(std::size_t reporters, std::size_t counts,
                                        byte_count link_rate)
{
    constexpr std::uint32_t fine_bits = 8;
    constexpr std::uint32_t coarse_bits = 4;
    const auto fine = interval_with(reporters, counts, fine_bits, link_rate);
    const auto bits = fine <= max_fine_interval ? fine_bits : coarse_bits;
    return {bits, std::max(min_counts_interval, interval_with(reporters, counts, bits, link_rate))};
}

wire::RankCounts liveness_report(rank_id rank, const rank_counts& counted,
                                 const rank_holding& holding, double slowdown)
{
    wire::RankCounts result;
    result.set_formation(counted.m_formation);
    auto& state = *result.add_ranks();
    state.set_rank(rank.value());
    state.set_step(counted.m_step);
    state.set_map(holding.m_map);
    state.set_pace(slowdown);
    return result;
}

wire::RankCounts to_wire(rank_id rank, const rank_counts& counted, const rank_holding& holding,
                         double slowdown, std::uint32_t bits, reported_counts& reported)
{
    const auto& counts = counted.m_counts;
    wire::RankCounts result;
    result.set_formation(counted.m_formation);
    result.set_steps(steps_since(reported, counted.m_formation, counted.m_step, counts));
    set_packed(result, pack_counts(reported, counts, bits), counts.size());
    auto& state = *result.add_ranks();
    state.set_rank(rank.value());
    state.set_step(counted.m_step);
    state.set_map(holding.m_map);
    state.set_pace(slowdown);
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
    for (const auto& reported : message.ranks()) {
        experts::rank_state state;
        state.m_step = reported.step();
        state.m_map = reported.map();
        state.m_held = read_held(reported);
        state.m_pace = reported.pace();
        state.m_at = now;
        result.m_ranks.emplace_back(reported.rank(), std::move(state));
    }
    return result;
}

}  // namespace dewbeam::ranks
