/// \file
/// Detection of a rank that is slower than its load explains.
///
/// All ranks of a group step together, so one stalled rank slows the whole group. A short stall
/// is routed around and never rebalanced; a rank that stays slow gets a speed estimate, which the
/// planner takes as a weight.
#pragma once

#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/experts/expert_map.h"

namespace dewbeam::experts {

/// Limits of the detector.
struct stall_options {
    double m_slow_ratio = 1.6;     ///< time over predicted time, against the median rank
    double m_normal_ratio = 1.25;  ///< below this a rank counts as normal again
    time_span m_confirm = std::chrono::milliseconds(150);  ///< slow this long: stalled
    time_span m_silence = std::chrono::milliseconds(300);  ///< no step this long: stalled
    time_span m_hold = std::chrono::seconds(1);            ///< route around at least this long
    time_span m_lasting = std::chrono::seconds(10);        ///< slow this long: slow for good
    /// How long a stalled group without work is left alone; twice as long after each stall in a
    /// row.
    time_span m_shortest_pause = std::chrono::seconds(10);
    time_span m_longest_pause = std::chrono::seconds(60);  ///< no pause is longer
};

/// Times of one step, or the mean of several, as the ranks report them.
struct rank_times {
    std::vector<time_span> m_measured;
    std::vector<time_span> m_predicted;  ///< from each rank's own load
};

/// What is known of one rank.
struct rank_health {
    double m_ratio = 1;  ///< measured over predicted, smoothed
    time_point m_slow_since = no_deadline;
    double m_speed = 1;  ///< what the planner should count with
};

/// State of the detector of one group.
struct stall_detector {
    stall_options m_options;
    std::vector<rank_health> m_ranks;
    time_point m_last_step{};
    time_point m_around_until{};  ///< route around the group until then
    bool m_is_busy = false;
    bool m_is_still = false;     ///< had work and made no step; ends by a step or a new try
    std::uint32_t m_stalls = 0;  ///< in a row, without a step between them
    time_point m_next_try{};     ///< of a still group without work
};

/// What to do about the group.
struct stall_advice {
    bool m_route_around = false;
    bool m_may_rebalance = true;  ///< false while a rank is slow and may yet recover
    std::vector<rank_id> m_slow;  ///< ranks that are slow now
    rank_speeds m_speeds;         ///< for the planner
};

/// A detector for a group of `ranks` ranks.
stall_detector make_stall_detector(const stall_options& options, std::uint32_t ranks,
                                   time_point now);

/// Takes in the times of a step.
void observe(stall_detector& state, const rank_times& times, time_point now);

/// Says whether the group has work; call it often. A busy group that doesn't step is stalled, and
/// stays so when it loses its work: that it has nothing to do shows nothing.
void set_busy(stall_detector& state, bool is_busy, time_point now);

/// What to do now.
stall_advice advise(const stall_detector& state, time_point now);

}  // namespace dewbeam::experts
