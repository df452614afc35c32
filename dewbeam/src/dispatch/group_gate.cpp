#include "dewbeam/src/dispatch/group_gate.h"

#include <algorithm>

namespace dewbeam::dispatch {

namespace {

/// Interval between two probe requests to a closed group. A group forms again in about 0.6 s once
/// its missing rank is back.
constexpr time_span probe_interval = std::chrono::milliseconds(400);

void refresh_group(route_table& table, const route_options& options, const std::string& group,
                   time_point now)
{
    for (const auto& [name, index] : table.m_names) {
        if (table.m_upstreams[index]->m_info.m_group == group) {
            refresh(table, options, index, now);
        }
    }
}

}  // namespace

bool close_group(route_table& table, const route_options& options, const std::string& group,
                 time_point now)
{
    if (group.empty()) {
        return false;
    }
    const auto [place, is_new] = table.m_closed_groups.try_emplace(group);
    place->second = std::max(place->second, now + probe_interval);
    refresh_group(table, options, group, now);
    return is_new;
}

void note_group_start(route_table& table, const route_options& options, upstream_index index,
                      time_point now)
{
    const auto place = table.m_closed_groups.find(table.m_upstreams[index]->m_info.m_group);
    if (place != table.m_closed_groups.end()) {
        place->second = now + probe_interval;
        refresh_group(table, options, place->first, now);
    }
}

bool open_group(route_table& table, const route_options& options, upstream_index index,
                time_point now)
{
    const auto group = table.m_upstreams[index]->m_info.m_group;
    if (table.m_closed_groups.erase(group) == 0) {
        return false;
    }
    refresh_group(table, options, group, now);
    return true;
}

}  // namespace dewbeam::dispatch
