/// \file
/// Why an answer missed its objective: the first thing to ask about a slow request.
#pragma once

#include "dewbeam/base"
#include "dewbeam/routes"

namespace dewbeam::gateway {

/// When the parts of an answer came.
struct answer_times {
    time_point m_arrival{};
    time_point m_first_sent{};  ///< to an upstream; epoch: never
    time_point m_first_byte{};  ///< to the caller; epoch: none
    time_point m_last_event{};
    time_span m_longest_pause = time_span::zero();  ///< between two events at one upstream
    time_span m_longest_break = time_span::zero();  ///< between two events of two upstreams
    std::uint32_t m_attempts = 0;
};

/// What made an answer late; the one that came first.
enum class late_reason {
    none,
    queued,       ///< it waited here for most of the time that its first byte took
    retried,      ///< earlier attempts took most of that time
    first_token,  ///< its upstream took most of that time
    paused,       ///< its upstream paused between two events
    resumed,      ///< another upstream had to go on with it
};

/// Field term of a reason in logs and metrics.
const char* to_string(late_reason value);

/// Takes in that events go to the caller; `is_new_attempt`: the first ones of this attempt.
void note_event(answer_times& times, bool is_new_attempt, time_point now);

/// Why an answer that was given is late by its route's objectives.
late_reason lateness_of(const answer_times& times, time_point last_sent,
                        const routes::route& objectives);

}  // namespace dewbeam::gateway
