#include "dewbeam/src/slow_start/gateway_count.h"

#include <algorithm>

namespace dewbeam::slow_start {

void note_count(gateway_count& state, std::uint32_t gateways, time_point now, time_span retention)
{
    if (gateways >= state.m_highest || now >= state.m_highest_until) {
        state.m_highest = gateways;
        state.m_highest_until = now + retention;
    }
}

void merge_count(gateway_count& state, std::uint32_t gateways, time_span valid_for, time_point now)
{
    const auto until = now + valid_for;
    if (until <= now || (gateways < state.m_highest && now < state.m_highest_until)) {
        return;
    }
    const bool is_known = gateways == state.m_highest;
    state.m_highest_until = is_known ? std::max(state.m_highest_until, until) : until;
    state.m_highest = gateways;
}

time_span validity(const gateway_count& state, time_point now)
{
    return std::max(time_span::zero(), state.m_highest_until - now);
}

std::uint32_t sharing_gateways(const gateway_count& state, time_point heard_since, time_point now)
{
    const auto heard = std::max(1U, state.m_highest);
    return now < heard_since + settling_time ? std::max(heard, assumed_gateways) : heard;
}

}  // namespace dewbeam::slow_start
