/// \file
/// How late the turns of a loop are.
///
/// A process that is stopped, frozen with its host or starved of processor time reads nothing
/// meanwhile. Whoever judges others by their silence must not count that time: what they sent has
/// arrived and waits to be read.
#pragma once

#include <mutex>

#include "dewbeam/base"

namespace dewbeam {

/// The turns of one loop.
struct turn_watch {
    time_point m_due = no_deadline;  ///< when the next turn begins at the latest, if not held up
};

/// Begins a turn. `longest_turn`: the most that a turn takes while nothing holds the loop up.
/// \returns by how much this turn is late; zero for the first one
time_span begin_turn(turn_watch& state, time_point now, time_span longest_turn);

/// A deadline by which another process must have been heard, after this one read nothing for
/// `held_up`. What was renewed since is not put off beyond `latest`, the whole span from now on.
time_point put_off(time_point deadline, time_span held_up, time_point latest);

/// For how long a loop was held up in all, for other threads to read. Thread-safe.
class held_up_total {
public:
    /// The loop begins a turn. \returns by how much this turn is late
    time_span begin_turn(time_point now, time_span longest_turn);

    /// The total until `now`; a turn that is late and has not begun yet counts too.
    [[nodiscard]] time_span until(time_point now) const;

private:
    mutable std::mutex m_mutex;
    turn_watch m_turns;
    time_span m_total{};
};

/// What a total has grown by since the last look at it.
struct held_up_since {
    time_span m_known{};
};

/// \returns the growth of `total`; zero for one that fell, as of a loop that began anew
time_span take_growth(held_up_since& state, time_span total);

}  // namespace dewbeam
