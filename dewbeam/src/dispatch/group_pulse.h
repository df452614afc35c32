/// \file
/// Whether the lock-step groups make steps, as the events of their streams tell.
///
/// All ranks of a group share their steps: one that is frozen or cut off stops every stream of the
/// group at once, and engines notice only after a second or more. An entry that has streams there
/// sees it after a few missing events.
#pragma once

#include <map>
#include <string>

#include "dewbeam/src/dispatch/route_table.h"

namespace dewbeam::dispatch {

/// What is known of one group's steps.
struct group_pulse {
    time_point m_last_event{};
    bool m_is_still = false;  ///< it was found to make no steps, and no event came since
};

/// The pulses of groups, by name.
struct group_pulses {
    std::map<std::string, group_pulse> m_groups;
};

/// A stream of the group had an event. True where the group had been found still.
bool note_event(group_pulses& state, const std::string& group, time_point now);

/// Groups that are found still now: streams run there, and none of them had an event for some of
/// the pauses that they may have.
std::vector<std::string> find_still_groups(group_pulses& state, const route_table& table,
                                           time_point now);

/// This process was held up for so long: events that came meanwhile may not have been read yet.
void put_off_stillness(group_pulses& state, time_span held_up, time_point now);

/// Whether the group was found still.
bool is_still(const group_pulses& state, const std::string& group);

}  // namespace dewbeam::dispatch
