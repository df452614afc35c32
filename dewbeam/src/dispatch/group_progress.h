/// \file
/// Tracks whether lock-step groups make progress, by the events of their streams.
///
/// All ranks of a group share their steps: a rank that is frozen or cut off stops every stream of
/// the group at once, and engines notice only after a second or more. An entry that has streams
/// there detects it after a few missing events.
#pragma once

#include <map>
#include <string>

#include "dewbeam/src/dispatch/route_table.h"

namespace dewbeam::dispatch {

/// Progress of one group.
struct group_progress {
    time_point m_last_event{};
    bool m_is_still = false;  ///< found stalled, and no event came since
};

/// Progress of groups, by name.
struct group_progress_table {
    std::map<std::string, group_progress> m_groups;
};

/// Records an event of a stream of the group. Returns true if the group had been found stalled.
bool note_event(group_progress_table& state, const std::string& group, time_point now);

/// Finds groups that are newly stalled: streams run there, and none of them had an event for
/// several times their smallest max pause.
std::vector<std::string> find_stalled_groups(group_progress_table& state, const route_table& table,
                                             time_point now);

/// Extends the stall deadlines by the time that this process was delayed, since events that arrived
/// meanwhile may not have been read yet.
void extend_stall_deadlines(group_progress_table& state, time_span held_up, time_point now);

/// Whether the group was found stalled and had no event since.
bool is_still(const group_progress_table& state, const std::string& group);

}  // namespace dewbeam::dispatch
