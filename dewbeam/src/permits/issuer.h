/// \file
/// Permits to send requests to upstreams that limit their rate.
///
/// A limit applies to all gateways together, but each gateway sees only its own requests. One
/// registry therefore issues permits at the rate of the limit, each for one request, and a gateway
/// sends to a limited upstream only with a permit. Equal shares would leave most of a low rate
/// unused: of 150 gateways few have work for one upstream at any moment. Permits expire soon after
/// they are issued, so that gateways can't accumulate them for a burst.
///
/// \code
/// note_limit(state.m_limits, heard);
/// set_demand(state, holder, {upstream, 2}, now);
/// for (const auto& grant : issue(state, now)) { tell(grant.m_holder, grant.m_upstream); }
/// \endcode
#pragma once

#include <deque>
#include <map>
#include <vector>

#include "dewbeam/src/permits/rate_limit.h"

namespace dewbeam::permits {

/// How long a gateway may use a permit after it arrives. Short, to bound bursts: the requests of
/// any four seconds use permits that arrived within five.
inline constexpr time_span permit_lifetime = std::chrono::seconds(1);

/// Identifies a gateway; opaque to the issuer.
using holder_id = strong<struct holder_tag, std::string>;

/// Permits that a gateway could use for a limited upstream, in addition to those it holds.
struct demand {
    upstream_id m_upstream;
    std::uint32_t m_count = 0;
};

/// A gateway's demand, waiting for permits.
struct queued_demand {
    holder_id m_holder;
    std::uint32_t m_count = 0;
    time_point m_deadline{};  ///< expires then unless it is repeated
};

/// Token bucket of one limited upstream and the demands that wait for it.
struct permit_queue {
    double m_available = 0.0;  ///< permits that may be issued now
    time_point m_refilled_at{};
    std::deque<queued_demand> m_demands;  ///< the next one to serve first
};

struct issuer {
    limit_table m_limits;
    std::map<upstream_id, permit_queue> m_queues;
};

/// Permits issued to one holder for one upstream.
struct grant {
    holder_id m_holder;
    upstream_id m_upstream;
    incarnation m_incarnation;
    std::uint32_t m_count = 0;
};

/// Adds, refreshes or changes a gateway's demand; a queued one keeps its position. Ignores demands
/// for upstreams without a limit.
void set_demand(issuer& state, const holder_id& holder, const demand& wanted, time_point now);

/// Issues the permits that are due, round-robin over the holders.
std::vector<grant> issue(issuer& state, time_point now);

/// Schedule of a gateway that reaches no registry and issues its own permits: an equal share of the
/// limit, so that all gateways together stay within it.
struct own_share {
    time_point m_next_at{};
};

/// Takes the next permit if it is due. The first is due after a random part of the interval, so
/// that gateways that lose the registries at the same time don't send at the same time.
/// \returns whether a permit was due
bool take_own_share(own_share& state, double per_second, std::uint32_t gateways, time_point now,
                    random_engine& random);

}  // namespace dewbeam::permits
