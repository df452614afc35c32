/// \file
/// The score of a choice: the expected time to the first token there.
#pragma once

#include "dewbeam/base"

namespace dewbeam::routing {

/// What is known of one choice for one request.
struct choice_facts {
    double m_queued_tokens = 0.0;   ///< prompt tokens that will be computed before this one
    double m_missing_tokens = 0.0;  ///< prompt tokens of the request that its cache lacks
    double m_occupancy = 0.0;       ///< share of its slots that is taken
    double m_urgent_share = 0.0;    ///< for urgent work: share of its slots that urgent work has
    double m_skew = 1.0;            ///< step time of its group's slowest rank over the mean
    double m_slowness = 1.0;        ///< its time to the first token over that of the pool
    double m_excess_seconds = 0.0;  ///< by which its first tokens come later than the pool's
    double m_missing_kv = 0.0;      ///< tokens of memory that must become free first
    double m_recent_tokens = 0.0;   ///< own work sent there lately, decayed
};

/// What a pool has learned of its upstreams' speed from the answers.
struct speed_estimate {
    double m_tokens = 0.0;   ///< decayed sum of prompt tokens computed until first tokens
    double m_seconds = 0.0;  ///< decayed sum of the times that this took
};

/// Takes in one first token: `tokens` were computed before it in `seconds`.
void note_first_token(speed_estimate& estimate, double tokens, double seconds);

/// Prompt tokens a second.
double prompt_speed(const speed_estimate& estimate);

/// Expected seconds to the first token; lower is better.
double expected_wait(const choice_facts& facts, const speed_estimate& estimate);

}  // namespace dewbeam::routing
