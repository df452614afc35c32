/// \file
/// How an upstream's results speak for it: failures close it for a while, slow answers count
/// against it.
///
/// An upstream's own word on its health is no input: one that fails a part of its requests, or
/// hangs, may well call itself healthy. What counts is what came back.
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::dispatch {

/// Limits of the judgement.
struct health_options {
    /// So many failures in a row close an upstream: two may be one broken connection and its
    /// repeat.
    std::uint32_t m_most_in_a_row = 3;
    /// A larger share of failures closes it, once there were `m_least_results`. Twice the share of
    /// answers that are lost or spoiled by an upstream that is otherwise worth using.
    double m_most_failure_share = 0.25;
    double m_least_results = 4.0;
    time_span m_first_pause = std::chrono::milliseconds(500);
    time_span m_longest_pause = std::chrono::seconds(4);
    /// Results count half after so long.
    time_span m_half_life = std::chrono::seconds(3);
};

/// What is known of one upstream.
struct health {
    double m_results = 0.0;   ///< decayed count
    double m_failures = 0.0;  ///< of them
    time_point m_counted_at{};
    std::uint32_t m_in_a_row = 0;  ///< failures since the last success
    std::uint32_t m_pauses = 0;    ///< since the last success
    time_point m_closed_until{};
};

/// An attempt brought an answer.
void note_success(health& state, const health_options& options, time_point now);

/// What an attempt's result says of its upstream.
enum class upstream_result {
    good,
    failed,
    unreachable,  ///< no connection came about: certain at once, and each further try takes long
};

/// An attempt failed by the upstream's fault; true where the upstream is closed for it.
bool note_failure(health& state, const health_options& options, upstream_result how,
                  time_point now);

/// How much slower an upstream answers than its pool does.
struct slowness {
    double m_seconds = 0.0;  ///< mean time to the first token; 0: not known
    time_point m_noted_at{};
};

/// Takes in the time to one first token.
void note_first_token_time(slowness& state, double seconds, time_point now);

/// Ratio of the upstream's time to the pool's, 1 where nothing speaks against it. Fades without
/// news, so that an upstream that was avoided is tried again.
double slowness_of(const slowness& state, const slowness& pool, time_point now);

}  // namespace dewbeam::dispatch
