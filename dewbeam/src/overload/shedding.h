/// \file
/// Which waiting requests can't be served before their callers leave, for load that exceeds the
/// capacity of a pool for longer than callers wait.
///
/// The queues are served in the order of their value. What arrives for a queue of higher value
/// while a request waits goes before it, too, so that a queue drains at the rate that the queues
/// of higher value leave over.
#pragma once

#include "dewbeam/base"

namespace dewbeam::overload {

/// What a request finds before it, in the unit of the queues' costs.
struct backlog {
    double m_ahead = 0.0;         ///< work that waits in queues of higher value
    double m_own = 0.0;           ///< work of its own queue that goes before it
    double m_drain_rate = 0.0;    ///< work per second of the whole pool; 0: not known
    double m_arrival_rate = 0.0;  ///< work per second that arrives and goes before it
    double m_least_share = 0.05;  ///< of the drain rate, kept for lower priorities
    double m_work = 0.0;          ///< of the request itself
};

/// Expected time until the request is served; zero if nothing is ahead or no rate is known. The
/// floor of lower priorities bounds how long work of higher value delays a request.
time_span expected_wait(const backlog& facts);

/// Whether the request would be served too late to be of use.
bool must_shed(const backlog& facts, time_point useful_until, time_point now);

/// Exponentially decayed rate of arriving work.
struct arrival_meter {
    double m_rate = 0.0;  ///< work per second, as of `m_noted_at`
    time_point m_noted_at{};
};

/// Records that work arrived.
void note_arrival(arrival_meter& meter, double work, time_point now);

/// The rate of arriving work, in work per second.
double arrival_rate(const arrival_meter& meter, time_point now);

}  // namespace dewbeam::overload
