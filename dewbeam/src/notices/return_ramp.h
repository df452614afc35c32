/// \file
/// How an upstream gets requests again after a backoff that it asked for.
///
/// All gateways and their callers wait for the same end, and the upstream has just said that it has
/// too much. So gateways return at different moments, each with a single request, and send more
/// only as answers come: two for each one.
///
/// \code
/// begin_backoff(ramp, until, {gateways, slots}, now, random);
/// if (may_send(ramp, now)) { note_sent(ramp); }
/// note_answered(ramp, sent_at, slots);
/// \endcode
#pragma once

#include <cstdint>
#include <optional>

#include "dewbeam/base"

namespace dewbeam::notices {

/// Who returns to the upstream.
struct return_facts {
    std::uint32_t m_gateways = 1;  ///< that send to it
    std::uint32_t m_slots = 1;     ///< requests that it runs concurrently
};

/// State of one upstream.
struct return_ramp {
    time_point m_backoff_until{};
    double m_place = 0.0;                    ///< of this gateway among all that return: 0 to 1
    time_point m_opens_at{};                 ///< this gateway's first request may go then
    std::optional<std::uint32_t> m_credits;  ///< requests that may be sent; empty: unlimited
};

/// Records the end of a backoff. This gateway's return is drawn from a span in which the first
/// requests of all gateways come at about the upstream's slots per `return_interval`; the span is
/// not longer than the backoff itself. An earlier end than the known one changes nothing.
void begin_backoff(return_ramp& state, time_point until, const return_facts& facts, time_point now,
                   random_engine& random);

/// Time in which about as many first requests come as the upstream has slots.
inline constexpr time_span return_interval = std::chrono::milliseconds(500);

/// Whether the backoff goes on.
inline bool is_backing_off(const return_ramp& state, time_point now)
{
    return state.m_opens_at > now;
}

/// Whether a request may be sent now.
inline bool may_send(const return_ramp& state, time_point now)
{
    return !is_backing_off(state, now) && state.m_credits != 0U;
}

/// A request was sent.
void note_sent(return_ramp& state);

/// The upstream began to answer a request that was sent at `sent_at`. Ends the ramp once it allows
/// all slots.
void note_answered(return_ramp& state, time_point sent_at, std::uint32_t slots);

/// A request that was sent at `sent_at` ended without an answer; another one may take its place.
void note_unanswered(return_ramp& state, time_point sent_at);

}  // namespace dewbeam::notices
