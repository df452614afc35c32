#include "dewbeam/src/turns/turn_watch.h"

#include <algorithm>
#include <utility>

namespace dewbeam {

time_span begin_turn(turn_watch& state, time_point now, time_span longest_turn)
{
    const auto late = state.m_due < now ? now - state.m_due : time_span::zero();
    state.m_due = now + longest_turn;
    return late;
}

time_point put_off(time_point deadline, time_span held_up, time_point latest)
{
    if (deadline == no_deadline) {
        return deadline;
    }
    return std::max(deadline, std::min(deadline + held_up, latest));
}

time_span held_up_total::begin_turn(time_point now, time_span longest_turn)
{
    const std::lock_guard lock(m_mutex);
    const auto late = dewbeam::begin_turn(m_turns, now, longest_turn);
    m_total += late;
    return late;
}

time_span held_up_total::until(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return m_total + std::max(time_span::zero(), now - std::min(now, m_turns.m_due));
}

time_span take_growth(held_up_since& state, time_span total)
{
    return std::max(time_span::zero(), total - std::exchange(state.m_known, total));
}

}  // namespace dewbeam
