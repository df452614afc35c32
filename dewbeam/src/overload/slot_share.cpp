#include "dewbeam/src/overload/slot_share.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::overload {

std::uint32_t max_in_flight(const slot_report& report, random_engine& random)
{
    const double own = report.m_own;
    const double taken = own + report.m_others;
    const double free = report.m_slots - taken;
    // Of an excess, each gateway gives up what it has of the requests there.
    const double share = free >= 0.0 ? free / std::max(1U, report.m_gateways) : free * own / taken;
    const double wanted = std::clamp(own + share, 0.0, report.m_slots);
    const double whole = std::floor(wanted);
    const bool rounds_up = uniform_unit(random) < wanted - whole;
    return static_cast<std::uint32_t>(whole) + (rounds_up ? 1 : 0);
}

}  // namespace dewbeam::overload
