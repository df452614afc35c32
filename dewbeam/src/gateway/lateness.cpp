#include "dewbeam/src/gateway/lateness.h"

#include <algorithm>

namespace dewbeam::gateway {

const char* to_string(late_reason value)
{
    switch (value) {
        case late_reason::none:
            return "none";
        case late_reason::queued:
            return "queued";
        case late_reason::retried:
            return "retried";
        case late_reason::first_token:
            return "first_token";
        case late_reason::paused:
            return "paused";
        case late_reason::resumed:
            break;
    }
    return "resumed";
}

void note_event(answer_times& times, bool is_new_attempt, time_point now)
{
    if (times.m_first_byte == time_point{}) {
        times.m_first_byte = now;
        times.m_last_event = now;
        return;
    }
    auto& longest = is_new_attempt ? times.m_max_break : times.m_longest_pause;
    longest = std::max(longest, now - times.m_last_event);
    times.m_last_event = now;
}

late_reason lateness_of(const answer_times& times, time_point last_sent,
                        const routes::route& objectives)
{
    if (times.m_first_byte == time_point{}) {
        return late_reason::none;
    }
    const auto objective = objectives.m_latency_objective;
    if (objective > time_span::zero() && times.m_first_byte - times.m_arrival > objective) {
        const auto queued = times.m_first_sent - times.m_arrival;
        const auto retried = last_sent - times.m_first_sent;
        const auto served = times.m_first_byte - last_sent;
        if (queued >= std::max(retried, served)) {
            return late_reason::queued;
        }
        return retried >= served ? late_reason::retried : late_reason::first_token;
    }
    const auto most = objectives.m_gap_objective;
    if (most <= time_span::zero() || std::max(times.m_longest_pause, times.m_max_break) <= most) {
        return late_reason::none;
    }
    return times.m_max_break > most ? late_reason::resumed : late_reason::paused;
}

}  // namespace dewbeam::gateway
