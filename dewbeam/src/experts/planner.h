/// \file
/// The expert planner: when to move which experts.
///
/// A plan is a short list of fetches, the most useful first, bounded by what the weight store
/// gives until the next plan. It is made only when the step time it saves over the time the
/// forecast holds is worth more than the fetches and the pause of the switch.
#pragma once

#include <optional>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/configuration"
#include "dewbeam/src/experts/expert_map.h"
#include "dewbeam/src/experts/forecast.h"
#include "dewbeam/src/experts/step_model.h"

namespace dewbeam::experts {

/// What a step costs: a base and, for each layer, the tokens of its busiest rank.
struct step_cost {
    time_span m_base = std::chrono::milliseconds(3);
    double m_microseconds_per_token = 0.3;
};

/// What moving costs.
struct move_cost {
    byte_count m_expert_size{20'000'000};
    byte_count m_store_rate{10'000'000'000};  ///< a second, for the whole group
    time_span m_switch_pause = std::chrono::milliseconds(50);
};

/// Settings of a planner.
struct planner_options {
    configuration::balance_preference m_preference = configuration::balance_preference::skew;
    step_cost m_step;
    move_cost m_move;
    forecast_options m_forecast;
    time_span m_interval = std::chrono::seconds(3);          ///< between plans
    time_span m_longest_horizon = std::chrono::minutes(10);  ///< a saving counts this long at most
    double m_high_skew = 1.07;      ///< a layer above this is worked on ...
    double m_low_skew = 1.03;       ///< ... until it is below this
    double m_tolerated_skew = 1.0;  ///< of the whole map: nothing moves below this
    /// A map that is far more uneven than this is first brought down to it by a plan of few
    /// fetches, which is in force in a fraction of the time of a whole one. No map is left more
    /// uneven than this, however little the group runs: a wave comes sooner than a plan. 0: off.
    double m_relief_skew = 0.0;
    std::uint32_t m_most_changes_per_layer = 48;
    std::uint32_t m_most_new_per_rank = 0;  ///< experts of a layer in one plan; 0: no limit
};

/// What was seen since the last observation.
struct observation {
    group_counts m_tokens_per_step;
    double m_steps = 0;           ///< steps run since the last observation
    time_span m_span{};           ///< time since the last observation
    rank_speeds m_speeds;         ///< empty: all ranks are normal
    bool m_is_stalled = false;    ///< a rank stalls: no plan is made meanwhile
    bool m_is_of_one_map = true;  ///< the map was not changed meanwhile
};

/// A new map and how to get there.
struct plan {
    expert_map m_map;
    std::vector<expert_move> m_moves;
    byte_count m_bytes;
    time_span m_staging{};  ///< the weight store's limit alone
    double m_skew_before = 1;
    double m_skew_after = 1;
    time_span m_saved_per_step{};
};

/// State of the planner of one group.
struct planner {
    planner_options m_options;
    expert_map m_map;        ///< in force
    expert_map m_first_map;  ///< what never moving would have kept
    forecast m_forecast;
    rank_speeds m_speeds;
    std::vector<double> m_reached;  ///< skew of each layer after it was last changed
    double m_steps_per_second = 0;
    bool m_is_stalled = false;
    bool m_is_moving = false;  ///< a plan was given out and is not settled
    time_point m_plan_at{};
    std::optional<plan> m_candidate;  ///< of `balance=cost`: must prove itself first
    double m_candidate_proof = 0;     ///< seconds that the candidates would have saved
    double m_balance = 0;             ///< seconds saved against never moving, less all costs
    std::uint32_t m_uncovered = 0;    ///< moves in a row that cost more than was earned
    double m_pending_cost = 0;        ///< seconds that the plan given out costs
};

/// A planner for a group that runs `first`.
planner make_planner(const planner_options& options, const expert_map& first, time_point now);

/// Takes in what was counted.
void observe(planner& state, const observation& seen, time_point now);

/// Lets the map be as uneven as the group's steps allow.
/// \returns seconds of work for tokens in one of the steps that were seen
double tolerate(planner& state, const step_timing& timing, const skew_band& tight,
                const observation& seen);

/// A plan to carry out now, or nothing. No further plan comes until `settle`.
std::optional<plan> decide(planner& state, time_point now);

/// The last plan is in force (`is_in_force`) or was given up.
void settle(planner& state, const plan& last, bool is_in_force, time_point now);

/// Time of one step under `map`.
time_span predicted_step(const step_cost& cost, const expert_map& map, const group_counts& counts,
                         const rank_speeds& speeds = {});

/// What the moves of a plan cost: fetching and, where there are any, the pause.
time_span cost_of(const move_cost& cost, std::size_t fetches);

}  // namespace dewbeam::experts
