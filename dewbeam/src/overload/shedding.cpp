#include "dewbeam/src/overload/shedding.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::overload {

namespace {

/// Time constant of the measured arrival rate, in seconds: short against a wave of some seconds,
/// long against the time between two requests of one kind.
constexpr double arrival_lifetime = 1.0;
/// Expected waits beyond this say only that the request can't be served in time.
constexpr double max_wait_seconds = 3600.0;

}  // namespace

time_span expected_wait(const backlog& facts)
{
    if (facts.m_ahead + facts.m_own <= 0.0 || facts.m_drain_rate <= 0.0) {
        return time_span::zero();
    }
    const double left = facts.m_drain_rate - facts.m_arrival_rate;
    const double behind_others =
        left > 0.0 ? (facts.m_ahead + facts.m_own) / left : max_wait_seconds;
    const double least = facts.m_drain_rate * facts.m_least_share;
    // The floor serves it once it has been earned for the request, too.
    const double of_lane = facts.m_own + facts.m_work;
    const double by_floor = least > 0.0 && of_lane > 0.0 ? of_lane / least : max_wait_seconds;
    const double seconds = std::min(behind_others, by_floor);
    return std::chrono::duration_cast<time_span>(
        std::chrono::duration<double>(std::min(seconds, max_wait_seconds)));
}

bool must_shed(const backlog& facts, time_point useful_until, time_point now)
{
    return useful_until != no_deadline && now + expected_wait(facts) > useful_until;
}

void note_arrival(arrival_meter& meter, double work, time_point now)
{
    meter.m_rate = arrival_rate(meter, now) + work / arrival_lifetime;
    meter.m_noted_at = now;
}

double arrival_rate(const arrival_meter& meter, time_point now)
{
    return meter.m_rate * std::exp(-to_seconds(now - meter.m_noted_at) / arrival_lifetime);
}

}  // namespace dewbeam::overload
