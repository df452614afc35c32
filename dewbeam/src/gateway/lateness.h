/// \file
/// Classifies why an answer missed its objective, which is the first question about a slow request.
#pragma once

#include "dewbeam/base"
#include "dewbeam/routes"

namespace dewbeam::gateway {

/// When the parts of an answer arrived.
struct answer_times {
    time_point m_arrival{};
    time_point m_first_sent{};  ///< to an upstream; epoch if never
    time_point m_first_byte{};  ///< to the caller; epoch if none
    time_point m_last_event{};
    time_span m_longest_pause = time_span::zero();  ///< between two events at one upstream
    time_span m_max_break = time_span::zero();      ///< between events of two successive attempts
    std::uint32_t m_attempts = 0;
};

/// What made an answer late. A missed latency objective takes precedence over a pause.
enum class late_reason {
    none,
    queued,       ///< the queue took the largest part of the time to the first byte
    retried,      ///< earlier attempts took the largest part of that time
    first_token,  ///< the last upstream took the largest part of that time
    paused,       ///< the upstream paused too long between two events
    resumed,      ///< the pause before another attempt continued it was too long
};

/// Name of a reason in logs and metrics.
const char* to_string(late_reason value);

/// Records that events are sent to the caller. `is_new_attempt` marks the first ones of an attempt.
void note_event(answer_times& times, bool is_new_attempt, time_point now);

/// Why an answer is late by the objectives of its route; `none` if it met them or never started.
late_reason lateness_of(const answer_times& times, time_point last_sent,
                        const routes::route& objectives);

}  // namespace dewbeam::gateway
