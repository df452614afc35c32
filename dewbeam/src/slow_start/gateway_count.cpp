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

std::uint32_t sharing_gateways(const gateway_count& state, time_point heard_since, time_point now)
{
    const auto heard = std::max(1U, state.m_highest);
    return now < heard_since + settling_time ? std::max(heard, assumed_gateways) : heard;
}

}  // namespace dewbeam::slow_start
