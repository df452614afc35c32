/// \file
/// Whether an upstream is cold: it can handle only a few requests per second for a while, and
/// crashes above that.
///
/// An upstream announces how long it stays cold. After an interruption, the last announcement may
/// be older than a restart, so the upstream is presumed cold until a newer one arrives.
///
/// \code
/// warmth state;
/// note_announcement(state, cold_left, now);
/// if (is_cold(state, now)) { limit_rate(share_of_rate(service.m_cold_requests_per_second)); }
/// \endcode
#pragma once

#include "dewbeam/base"

namespace dewbeam::slow_start {

/// How long a permit for a cold upstream is valid. Short, so that permits that were not used don't
/// add up when all gateways find the upstream empty at the same moment.
inline constexpr time_span permit_lifetime = std::chrono::milliseconds(250);

/// What is known of an upstream.
struct warmth {
    time_point m_announced_until{};  ///< cold until then by its last announcement
    time_point m_presumed_until{};   ///< presumed cold until then
};

/// Records an announcement: the upstream stays cold for `cold_left`; zero: it is not cold. Ends a
/// presumption, since it is newer than the interruption.
void note_announcement(warmth& state, time_span cold_left, time_point now);

/// Records that the upstream started, or takes requests again after an interruption that may have
/// made it cold. It is presumed cold for as long as a start makes one cold.
void note_return(warmth& state, time_span cold_time, time_point now);

/// Whether the upstream counts as cold.
bool is_cold(const warmth& state, time_point now);

/// Requests per second that all gateways together may send to a cold upstream that handles
/// `cold_requests_per_second`. Lower than that, since the gateways' permits come independently and
/// may coincide.
double share_of_rate(double cold_requests_per_second);

}  // namespace dewbeam::slow_start
