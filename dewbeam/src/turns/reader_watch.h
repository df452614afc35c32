/// \file
/// How long what a loop reads now may have waited to be read.
///
/// A process that is stopped, frozen with its host or starved of processor time reads nothing
/// meanwhile. What it reads afterwards may be older than messages that others have read and
/// answered in the meantime.
#pragma once

#include "dewbeam/base"

namespace dewbeam {

/// A loop that was held up for less reads what waited as if it had just come.
inline constexpr time_span min_reader_hold_up = std::chrono::milliseconds(500);

/// How long a loop may take to read what has piled up while it was held up.
inline constexpr time_span reader_backlog_time = std::chrono::seconds(1);

/// The turns of a loop that reads, and its last long hold-up.
struct reader_watch {
    time_point m_last_turn = no_deadline;          ///< `no_deadline` before the first one
    time_point m_held_up_since = no_deadline;      ///< begin of the hold-up
    time_point m_backlog_deadline = time_point{};  ///< by then, what waited has been read
};

/// Begins a turn.
void begin_turn(reader_watch& state, time_point now);

/// The earliest time at which what is read now may have arrived; `now` unless the loop was held up.
time_point unread_since(const reader_watch& state, time_point now);

}  // namespace dewbeam
