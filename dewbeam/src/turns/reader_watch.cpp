#include "dewbeam/src/turns/reader_watch.h"

#include <algorithm>

namespace dewbeam {

namespace {

bool is_held_up(const reader_watch& state, time_point now)
{
    return state.m_last_turn != no_deadline && state.m_last_turn + min_reader_hold_up <= now;
}

}  // namespace

void begin_turn(reader_watch& state, time_point now)
{
    if (is_held_up(state, now)) {
        const bool has_backlog = now < state.m_backlog_deadline;
        state.m_held_up_since =
            has_backlog ? std::min(state.m_held_up_since, state.m_last_turn) : state.m_last_turn;
        state.m_backlog_deadline = now + reader_backlog_time;
    }
    state.m_last_turn = now;
}

time_point unread_since(const reader_watch& state, time_point now)
{
    auto result = now;
    if (is_held_up(state, now)) {
        result = state.m_last_turn;  // the turn that notices it has not begun yet
    }
    if (now < state.m_backlog_deadline) {
        result = std::min(result, state.m_held_up_since);
    }
    return result;
}

}  // namespace dewbeam
