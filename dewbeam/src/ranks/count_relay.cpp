#include "dewbeam/src/ranks/count_relay.h"

#include <utility>

#include "dewbeam/src/ranks/count_message.h"

namespace dewbeam::ranks {

namespace {

/// All ranks report at the coordinator's heartbeat. A sum is sent without the ranks whose reports
/// take longer than this.
constexpr time_span max_gathering = std::chrono::milliseconds(80);

}  // namespace

bool add(count_relay& state, rank_id to, const wire::RankCounts& counts, time_point now)
{
    if (counts.formation() < state.m_formation && to == state.m_to) {
        return true;  // sent before the group formed again
    }
    std::vector<std::uint64_t> reported;
    if (!add_counts(reported, packed_of(counts), counts.experts())) {
        return false;
    }
    const bool starts = to != state.m_to || counts.formation() != state.m_formation ||
                        counts.experts() != state.m_totals.size();
    if (starts) {
        state = {};
        state.m_to = to;
        state.m_formation = counts.formation();
        state.m_totals.assign(reported.size(), 0);
        state.m_reported.m_reported = state.m_totals;
    }
    for (std::size_t i = 0; i < reported.size(); ++i) {
        state.m_totals[i] += reported[i];
    }
    state.m_started_at = state.m_ranks.empty() ? now : state.m_started_at;
    state.m_steps += counts.steps();
    for (const auto& rank : counts.ranks()) {
        state.m_ranks[rank.rank()] = rank;
    }
    return true;
}

bool is_due(const count_relay& state, std::size_t expected, time_point now)
{
    return !state.m_ranks.empty() &&
           (state.m_ranks.size() >= expected || now >= state.m_started_at + max_gathering);
}

std::optional<wire::RankCounts> take_sum(count_relay& state, std::uint32_t bits)
{
    if (state.m_ranks.empty()) {
        return std::nullopt;
    }
    wire::RankCounts result;
    result.set_formation(state.m_formation);
    set_packed(result, pack_counts(state.m_reported, state.m_totals, bits), state.m_totals.size());
    result.set_steps(std::exchange(state.m_steps, 0));
    for (auto& [rank, reported] : std::exchange(state.m_ranks, {})) {
        *result.add_ranks() = reported;
    }
    return result;
}

}  // namespace dewbeam::ranks
