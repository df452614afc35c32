#include "dewbeam/src/experts/step_model.h"

#include <algorithm>

namespace dewbeam::experts {

namespace {

/// Shares of the pause objective: a map is worked on when steps take longer than the first, until
/// they take the second. Steps must be short enough for a burst of prompts, which adds up to half a
/// step; a map that is kept even beyond that costs fetches and serves nobody.
constexpr double most_step_share = 0.62;
constexpr double good_step_share = 0.52;
/// Beyond this a few more requests would make steps too long before a plan is through.
constexpr double most_skew = 2.0;
constexpr double least_work = 1e-4;

bool is_known(const step_timing& timing)
{
    return timing.m_fixed > time_span::zero() && timing.m_expert_share > 0.0 &&
           timing.m_pause_objective > time_span::zero();
}

/// The skew with which steps take so many seconds.
double skew_for(const step_timing& timing, double step, double work, double pace)
{
    const double own = 1.0 - timing.m_expert_share;
    const double for_tokens = step - to_seconds(timing.m_fixed) * pace;
    return (for_tokens / work - own * pace) / timing.m_expert_share;
}

}  // namespace

double work_of(const step_timing& timing, time_span step, double skew, double pace)
{
    const double own = (1.0 - timing.m_expert_share) * pace;
    const double for_tokens = to_seconds(step) - to_seconds(timing.m_fixed) * pace;
    return std::max(0.0, for_tokens) / (own + timing.m_expert_share * std::max(1.0, skew));
}

skew_band tolerated_skews(const step_timing& timing, double work, double pace,
                          const skew_band& tight)
{
    if (!is_known(timing)) {
        return tight;
    }
    const double objective = to_seconds(timing.m_pause_objective);
    const double at_least = std::max(work, least_work);
    const double high = skew_for(timing, objective * most_step_share, at_least, pace);
    const double low = skew_for(timing, objective * good_step_share, at_least, pace);
    return {std::clamp(high, tight.m_high, most_skew), std::clamp(low, tight.m_low, most_skew)};
}

}  // namespace dewbeam::experts
