/// \file
/// Passive health checks: failures close an upstream for a while (circuit breaker), and slow
/// answers make it less preferred.
///
/// An upstream's own report of its health is not used: one that fails a part of its requests, or
/// hangs, may still report itself as healthy. Only the results of its attempts count.
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::dispatch {

/// Limits of the health checks.
struct health_options {
    /// Number of consecutive failures that close an upstream. Two may be a single broken connection
    /// and its retry.
    std::uint32_t m_max_consecutive = 3;
    /// A larger share of failures closes it, once there are `m_min_results` results. Twice the
    /// share of lost or corrupt answers of an upstream that is otherwise worth using.
    double m_max_failure_share = 0.25;
    double m_min_results = 4.0;
    time_span m_first_pause = std::chrono::milliseconds(500);
    time_span m_longest_pause = std::chrono::seconds(4);
    /// Time after which results count half.
    time_span m_half_life = std::chrono::seconds(3);
};

/// Health of one upstream.
struct health {
    double m_results = 0.0;   ///< decayed count
    double m_failures = 0.0;  ///< decayed count of the failures among them
    time_point m_counted_at{};
    std::uint32_t m_in_a_row = 0;  ///< failures since the last success
    std::uint32_t m_pauses = 0;    ///< since the last success
    time_point m_closed_until{};
};

/// Records an attempt that was answered.
void note_success(health& state, const health_options& options, time_point now);

/// What an attempt's result shows about its upstream.
enum class upstream_result {
    good,
    failed,
    unreachable,  ///< no connection: one result is conclusive, and each further try takes long
};

/// Records an attempt that failed by the upstream's fault; true if this closes the upstream.
bool note_failure(health& state, const health_options& options, upstream_result how,
                  time_point now);

/// How much slower an upstream answers than its pool does.
struct slowness {
    double m_seconds = 0.0;  ///< mean time to the first token; 0: not known
    time_point m_noted_at{};
};

/// Records the time to one first token.
void note_first_token_time(slowness& state, double seconds, time_point now);

/// How an upstream's time to the first token compares to its pool's.
struct relative_slowness {
    double m_ratio = 1.0;           ///< 1 if it is unknown or not significant
    double m_excess_seconds = 0.0;  ///< of its first tokens; 0 where the ratio is 1
};

/// Compares an upstream to its pool. Both values decay without new measurements, so that an
/// upstream that was avoided is tried again.
relative_slowness relative_slowness_of(const slowness& state, const slowness& pool, time_point now);

}  // namespace dewbeam::dispatch
