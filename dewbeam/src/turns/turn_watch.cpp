#include "dewbeam/src/turns/turn_watch.h"

#include <algorithm>

namespace dewbeam {

time_span begin_turn(turn_watch& state, time_point now, time_span longest_turn)
{
    const auto late = state.m_due < now ? now - state.m_due : time_span::zero();
    state.m_due = now + longest_turn;
    return late;
}

}  // namespace dewbeam
