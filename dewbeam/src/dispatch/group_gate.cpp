#include "dewbeam/src/dispatch/group_gate.h"

#include <algorithm>
#include <utility>

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

/// Notes for the routes to a group when it formed again.
void note_formed(route_table& table, const std::string& group, time_point now)
{
    for (const auto& subject : table.m_routes) {
        const bool is_affected = std::any_of(
            subject->m_members.begin(), subject->m_members.end(), [&](upstream_index index) {
                return table.m_upstreams[index]->m_info.m_group == group;
            });
        if (is_affected) {
            subject->m_formed_at = now;
        }
    }
}

group_formation find_formation(const route_table& table, const std::string& group)
{
    group_formation result;
    for (const auto& [name, index] : table.m_names) {
        const auto& info = table.m_upstreams[index]->m_info;
        if (info.m_group != group || info.m_group_epoch < result.m_epoch) {
            continue;
        }
        const bool is_later = info.m_group_epoch > result.m_epoch;
        result.m_is_broken = info.m_is_group_broken || (result.m_is_broken && !is_later);
        result.m_epoch = info.m_group_epoch;
    }
    return result;
}

}  // namespace

void update_formation(route_table& table, const route_options& options, const std::string& group,
                      time_point now)
{
    if (group.empty()) {
        return;
    }
    const auto found = find_formation(table, group);
    const auto before = std::exchange(table.m_formations[group], found);
    if (before == found) {
        return;
    }
    if (found.m_is_broken) {
        table.m_broken_groups.insert(group);
    }
    else {
        table.m_broken_groups.erase(group);
    }
    if (before.m_is_broken || before.m_epoch < found.m_epoch) {
        table.m_closed_groups.erase(group);  // why it was closed is over
    }
    if (before.m_is_broken && !found.m_is_broken) {
        note_formed(table, group, now);
    }
    refresh_group(table, options, group, now);
}

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
