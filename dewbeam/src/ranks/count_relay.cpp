#include "dewbeam/src/ranks/count_relay.h"

#include <utility>

#include "dewbeam/src/ranks/count_message.h"

namespace dewbeam::ranks {

namespace {

/// All ranks tell at the coordinator's heartbeat: whoever comes later than this is late.
constexpr time_span longest_gathering = std::chrono::milliseconds(80);

}  // namespace

bool add(count_relay& state, rank_id to, const wire::RankCounts& counts, time_point now)
{
    if (counts.formation() < state.m_formation && to == state.m_to) {
        return true;  // told before the group formed anew
    }
    std::vector<std::uint64_t> told;
    if (!add_counts(told, packed_of(counts), counts.experts())) {
        return false;
    }
    const bool begins = to != state.m_to || counts.formation() != state.m_formation ||
                        counts.experts() != state.m_totals.size();
    if (begins) {
        state = {};
        state.m_to = to;
        state.m_formation = counts.formation();
        state.m_totals.assign(told.size(), 0);
        state.m_told.m_told = state.m_totals;
    }
    for (std::size_t i = 0; i < told.size(); ++i) {
        state.m_totals[i] += told[i];
    }
    state.m_began_at = state.m_ranks.empty() ? now : state.m_began_at;
    state.m_steps += counts.steps();
    for (const auto& rank : counts.ranks()) {
        state.m_ranks[rank.rank()] = rank;
    }
    return true;
}

bool is_due(const count_relay& state, std::size_t expected, time_point now)
{
    return !state.m_ranks.empty() &&
           (state.m_ranks.size() >= expected || now >= state.m_began_at + longest_gathering);
}

std::optional<wire::RankCounts> take_sum(count_relay& state, std::uint32_t bits)
{
    if (state.m_ranks.empty()) {
        return std::nullopt;
    }
    wire::RankCounts result;
    result.set_formation(state.m_formation);
    set_packed(result, pack_counts(state.m_told, state.m_totals, bits), state.m_totals.size());
    result.set_steps(std::exchange(state.m_steps, 0));
    for (auto& [rank, told] : std::exchange(state.m_ranks, {})) {
        *result.add_ranks() = told;
    }
    return result;
}

}  // namespace dewbeam::ranks
