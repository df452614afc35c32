#include "dewbeam/src/dispatch/group_progress.h"

#include <algorithm>
#include <utility>

namespace dewbeam::dispatch {

namespace {

/// A group without any event counts as stalled after this many times the max event pause of its
/// streams. Steps of a crowded group with a skewed map take up to two such pauses.
constexpr int stalled_after_pauses = 3;

/// The smallest max pause among the streams running on the upstream; zero if none runs or none has
/// a limit.
time_span shortest_pause(const upstream_state& upstream)
{
    auto result = time_span::zero();
    for (const auto& request : upstream.m_running) {
        const auto stream_max_pause = request.m_info.m_max_pause_time;
        const bool is_writing = request.m_has_first_token && stream_max_pause > time_span::zero();
        if (is_writing && (result == time_span::zero() || stream_max_pause < result)) {
            result = stream_max_pause;
        }
    }
    return result;
}

/// The smallest max pause of each group that runs streams.
std::map<std::string, time_span> min_pause_by_group(const route_table& table)
{
    std::map<std::string, time_span> result;
    for (const auto& [name, index] : table.m_names) {
        const auto& upstream = *table.m_upstreams[index];
        const auto pause =
            upstream.m_info.m_group.empty() ? time_span::zero() : shortest_pause(upstream);
        if (pause > time_span::zero()) {
            auto& shortest = result.try_emplace(upstream.m_info.m_group, pause).first->second;
            shortest = std::min(shortest, pause);
        }
    }
    return result;
}

}  // namespace

bool note_event(group_progress_table& state, const std::string& group, time_point now)
{
    auto& pulse = state.m_groups[group];
    pulse.m_last_event = now;
    return std::exchange(pulse.m_is_still, false);
}

std::vector<std::string> find_stalled_groups(group_progress_table& state, const route_table& table,
                                             time_point now)
{
    std::vector<std::string> result;
    const auto pauses = min_pause_by_group(table);
    for (const auto& [group, pause] : pauses) {
        auto& pulse = state.m_groups[group];
        if (!pulse.m_is_still && pulse.m_last_event + stalled_after_pauses * pause <= now) {
            pulse.m_is_still = true;
            result.push_back(group);
        }
    }
    // Without streams a group's progress is unknown; this also drops the names of removed groups.
    std::erase_if(state.m_groups, [&](const auto& item) { return !pauses.contains(item.first); });
    return result;
}

void extend_stall_deadlines(group_progress_table& state, time_span held_up, time_point now)
{
    for (auto& [group, pulse] : state.m_groups) {
        pulse.m_last_event = std::min(pulse.m_last_event + held_up, now);
    }
}

bool is_still(const group_progress_table& state, const std::string& group)
{
    const auto place = state.m_groups.find(group);
    return place != state.m_groups.end() && place->second.m_is_still;
}

}  // namespace dewbeam::dispatch
