/// \file
/// Schedules a rank's count reports. They follow the coordinator's heartbeats, so that all ranks
/// report the same steps and no relay waits for a late rank. Without heartbeats a timer is used.
#pragma once

#include <utility>

#include "dewbeam/base"

namespace dewbeam::ranks {

/// The schedule of one rank.
struct count_schedule {
    /// Between two reports. The number of counts, on which the interval depends, is known only
    /// after the first ones.
    time_span m_interval = std::chrono::milliseconds(120);
    time_point m_last{};
    bool m_was_commanded = false;  ///< a command arrived since the last check
};

/// Whether a report is due; if so, it is recorded as sent.
inline bool take_turn(count_schedule& state, time_point now)
{
    // Heartbeats and reports have about the same interval: after a command a report may be sent
    // somewhat early, and without one it waits somewhat longer for the next command.
    const bool was_commanded = std::exchange(state.m_was_commanded, false);
    const auto wait = was_commanded ? state.m_interval * 2 / 3 : state.m_interval * 3 / 2;
    if (now < state.m_last + wait) {
        return false;
    }
    state.m_last = now;
    return true;
}

}  // namespace dewbeam::ranks
