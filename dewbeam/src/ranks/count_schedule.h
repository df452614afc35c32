/// \file
/// When a rank tells its counts: at the coordinator's heartbeats, so that all ranks tell of the
/// same steps and nobody waits for the last one, or by itself while there are none.
#pragma once

#include <utility>

#include "dewbeam/base"

namespace dewbeam::ranks {

/// The schedule of one rank.
struct count_schedule {
    /// Between two tellings; the first ones tell how many counts there are.
    time_span m_interval = std::chrono::milliseconds(120);
    time_point m_last{};
    bool m_was_commanded = false;  ///< a command came since the last look
};

/// Whether it is time to tell; it is taken as told.
inline bool take_turn(count_schedule& state, time_point now)
{
    // Heartbeats and tellings have about the same interval: a little early is no reason to wait.
    const bool was_commanded = std::exchange(state.m_was_commanded, false);
    const auto wait = was_commanded ? state.m_interval * 2 / 3 : state.m_interval * 3 / 2;
    if (now < state.m_last + wait) {
        return false;
    }
    state.m_last = now;
    return true;
}

}  // namespace dewbeam::ranks
