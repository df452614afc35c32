/// \file
/// How many slots of an upstream one of several gateways may use, for upstreams that are nearly
/// full and whose reported load is some hundred milliseconds old.
///
/// All gateways see the same free slots in a report. If each took all of them, an upstream with one
/// free slot would get a request from every gateway, and they would wait in its queue, where their
/// order can't change any more. Each gateway therefore takes only its share of the free slots until
/// the next report. A slot that its own request leaves it may use again at once.
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::overload {

/// What a report says of an upstream.
struct slot_report {
    double m_slots = 1.0;        ///< that all gateways together may use
    std::uint32_t m_own = 0;     ///< requests in flight from this gateway
    std::uint32_t m_others = 0;  ///< requests in flight from the other gateways
    std::uint32_t m_gateways = 1;
};

/// Max requests in flight from this gateway until the next report; less than now if the upstream
/// has more requests than slots. Fractions of a slot are rounded at random, so that the expected
/// sum over all gateways is the number of slots.
std::uint32_t max_in_flight(const slot_report& report, random_engine& random);

}  // namespace dewbeam::overload
