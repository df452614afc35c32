/// \file
/// Rates that upstreams limit themselves to.
#pragma once

#include <map>
#include <optional>

#include "dewbeam/base"

namespace dewbeam::permits {

/// A limit that an upstream named in an answer, or the end of its limit.
struct rate_limit {
    upstream_id m_upstream;
    incarnation m_incarnation;
    /// Requests a second accepted from all gateways together; empty if the limit has ended.
    std::optional<double> m_per_second;
    time_point m_heard_at{};
};

/// The newest limit of each upstream.
struct limit_table {
    std::map<upstream_id, rate_limit> m_limits;
};

/// Records a limit or its end. Ignores older reports and negative or non-finite rates.
/// \returns whether the rate or the upstream's incarnation changed
bool note_limit(limit_table& table, const rate_limit& heard);

/// Removes limits that have not been heard for their retention period.
void forget_old(limit_table& table, time_point now);

/// The rate at which permits are issued. Never zero, since only an answer can tell that the limit
/// ended.
double usable_rate(double per_second);

}  // namespace dewbeam::permits
