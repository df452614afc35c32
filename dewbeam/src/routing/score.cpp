#include "dewbeam/src/routing/score.h"

#include <algorithm>

namespace dewbeam::routing {

namespace {

constexpr double assumed_speed = 10'000.0;  ///< tokens a second, until something is known
constexpr double decay = 0.99;              ///< of the sums, for each first token
/// Running requests lengthen each step; a full upstream is this much slower than an empty one.
constexpr double full_slowdown = 1.0;
/// Seconds that a full upstream costs even a request with nothing to compute: breaks ties towards
/// empty ones.
constexpr double occupancy_seconds = 0.02;
/// Seconds that an urgent request would wait where urgent work has all slots.
constexpr double urgent_seconds = 0.2;
/// Seconds that a group costs whose slowest rank takes twice the mean: every token is late there.
/// A slow upstream costs the same, but not more than its measured excess.
constexpr double skew_seconds = 0.1;
/// How much of the work that was sent there lately still counts; it stands for work of other
/// entries, which draw the same conclusions from the same prefixes.
constexpr double recent_share = 0.15;

}  // namespace

void note_first_token(speed_estimate& estimate, double tokens, double seconds)
{
    estimate.m_tokens = estimate.m_tokens * decay + tokens;
    estimate.m_seconds = estimate.m_seconds * decay + seconds;
}

double prompt_speed(const speed_estimate& estimate)
{
    if (estimate.m_seconds <= 0.0 || estimate.m_tokens <= 0.0) {
        return assumed_speed;
    }
    return estimate.m_tokens / estimate.m_seconds;
}

double expected_wait(const choice_facts& facts, const speed_estimate& estimate)
{
    const double tokens = facts.m_queued_tokens + facts.m_missing_tokens + facts.m_missing_kv;
    const double slowdown =
        std::max(facts.m_skew, facts.m_slowness) * (1.0 + full_slowdown * facts.m_occupancy);
    const double slow_seconds =
        std::max(skew_seconds * (facts.m_skew - 1.0),
                 std::min(skew_seconds * (facts.m_slowness - 1.0), facts.m_excess_seconds));
    const double recent = recent_share * facts.m_recent_tokens / prompt_speed(estimate);
    return tokens / prompt_speed(estimate) * slowdown + occupancy_seconds * facts.m_occupancy +
           urgent_seconds * facts.m_urgent_share + slow_seconds + recent;
}

}  // namespace dewbeam::routing
