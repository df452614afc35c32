/// \file
/// Adaptive concurrency limit of upstreams whose streams must not pause for long.
///
/// An engine produces each event of a stream more slowly the more streams it runs. Near its number
/// of slots, the pauses of all streams pass their objective together, so that one stream too many
/// makes all of them late. The limit falls while pauses come too close to the objective and rises
/// again slowly. All gateways see the pauses of the same engines, so their limits stay similar
/// without any exchange.
///
/// \code
/// concurrency_limit limit;
/// note_pause(limit, pause, longest_pause, now);
/// const double slots = upstream_slots * share_of_slots(limit);
/// \endcode
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::overload {

/// The limit of one group of upstreams that run in lock-step, or of one upstream.
struct concurrency_limit {
    double m_share = 1.0;  ///< of the slots
    time_point m_window_start{};
    std::uint32_t m_pauses = 0;  ///< observed in this window
    std::uint32_t m_long = 0;    ///< among them: close to the objective, or longer
};

/// Records the time between two events of a stream. Ends the window if it is over, and then moves
/// the limit.
void note_pause(concurrency_limit& limit, time_span pause, time_span objective, time_point now);

/// Share of the slots that may be used; between a lower bound and 1.
double share_of_slots(const concurrency_limit& limit);

}  // namespace dewbeam::overload
