#include "dewbeam/src/slow_start/warmth.h"

#include <algorithm>

namespace dewbeam::slow_start {

namespace {

/// With 31 gateways and 17 requests per second, the permits of any second reach 30 with a
/// probability below one in a million.
constexpr double used_share = 0.7;

}  // namespace

void note_announcement(warmth& state, time_span cold_left, time_point now)
{
    state.m_announced_until = cold_left > time_span::zero() ? now + cold_left : time_point{};
    state.m_presumed_until = {};
}

void note_return(warmth& state, time_span cold_time, time_point now)
{
    state.m_presumed_until = now + cold_time;
}

bool is_cold(const warmth& state, time_point now)
{
    return std::max(state.m_announced_until, state.m_presumed_until) > now;
}

double share_of_rate(double cold_requests_per_second)
{
    return cold_requests_per_second * used_share;
}

}  // namespace dewbeam::slow_start
