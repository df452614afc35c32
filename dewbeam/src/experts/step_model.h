/// \file
/// What a step of a group takes, from its engine's published timing and one measured step.
///
/// A step has a fixed part, and work for tokens. A share of that work goes to experts, which lasts
/// as long as the most loaded rank takes for it; a slow rank stretches its fixed part for all.
///
/// \code
/// const auto work = work_of(timing, milliseconds(62), 1.2, 1.0);
/// const auto skews = tolerated_skews(timing, work, 1.0, {1.12, 1.04});
/// \endcode
#pragma once

#include "dewbeam/base"

namespace dewbeam::experts {

/// What is published of a group's steps; zeros: not known.
struct step_timing {
    time_span m_fixed = time_span::zero();            ///< of a step, whatever runs
    double m_expert_share = 0.0;                      ///< of the work for tokens
    time_span m_pause_objective = time_span::zero();  ///< longest pause between two events
};

/// Skews of a map: above the first it is worked on, until it is below the second.
struct skew_band {
    double m_high = 0.0;
    double m_low = 0.0;
};

/// Seconds of work for tokens in a step that took `step`; `pace`: of the slowest rank, 1 is normal.
double work_of(const step_timing& timing, time_span step, double skew, double pace);

/// The skews at which steps keep well within the pause objective. Fetching experts costs bandwidth
/// and slows the steps meanwhile: where no objective is near, a skewed map costs nobody anything.
/// Never tighter than `tight`, which is the answer where the timing isn't known.
skew_band tolerated_skews(const step_timing& timing, double work, double pace,
                          const skew_band& tight);

}  // namespace dewbeam::experts
