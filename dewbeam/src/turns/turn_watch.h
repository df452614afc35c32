/// \file
/// How late the turns of a loop are.
///
/// A process that is stopped, frozen with its host or starved of processor time reads nothing
/// meanwhile. Whoever judges others by their silence must not count that time: what they sent has
/// arrived and waits to be read.
#pragma once

#include "dewbeam/base"

namespace dewbeam {

/// The turns of one loop.
struct turn_watch {
    time_point m_due = no_deadline;  ///< when the next turn begins at the latest, if not held up
};

/// Begins a turn. `longest_turn`: the most that a turn takes while nothing holds the loop up.
/// \returns by how much this turn is late; zero for the first one
time_span begin_turn(turn_watch& state, time_point now, time_span longest_turn);

}  // namespace dewbeam
