/// \file
/// Plans the expert map of one group, on the rank that coordinates it.
#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "dewbeam/experts"
#include "dewbeam/group_map"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// Where steps are long, a layer is rebalanced if its skew is above the first value, down to the
/// second.
inline constexpr experts::skew_band tight_skews{1.12, 1.04};

/// Planner options for a group of such engines.
experts::planner_options planner_options_of(const engine_facts& facts, std::uint32_t ranks);

/// The balancer. Thread-safe.
class rank_balancer {
public:
    /// `propose` starts a change of the map and returns whether it was accepted.
    rank_balancer(const engine_facts& facts, std::uint32_t ranks,
                  std::function<bool(const std::string& content)> propose);

    /// Adds what ranks reported of their counts and held experts.
    void take(experts::count_sample sample, time_point now);

    /// Plans if due. `may_plan`: the group is running and no change is in progress.
    void tick(bool may_plan, time_point now);

    /// A change that this rank proposed has ended.
    void on_change(const group_map::ended_change& change, time_point now);

private:
    [[nodiscard]] bool follow_map(time_point now);
    void observe(time_point now);
    void measure_steps(const experts::observation& seen);
    std::optional<std::string> decide(time_point now);
    void log_missing_counts(time_point now);

    engine_facts m_facts;
    std::uint32_t m_ranks;
    std::function<bool(const std::string&)> m_propose;
    std::mutex m_mutex;
    experts::rank_book m_book;
    std::optional<experts::planner> m_planner;
    std::optional<std::uint64_t> m_planner_map_number;  ///< of the planner's map
    std::optional<experts::plan> m_plan;                ///< proposed and not yet ended
    bool m_has_news = false;                            ///< observed since the last decision
    experts::observation m_measured;        ///< steps and span since the last measurement
    bool m_has_measured = false;            ///< the tolerable skew is known
    double m_step_seconds = 0.0;            ///< duration of a step, at the last measurement
    double m_work = 0.0;                    ///< seconds of a step spent on tokens
    std::uint64_t m_changed_formation = 0;  ///< of the group, when a map was put in force
    time_point m_observed_at =
        no_deadline;  ///< last observation, or when this rank started to plan
    time_point m_next_missing_counts_log{};  ///< earliest time of the next warning
    time_point m_last_may_plan_at{};         ///< when this rank last was allowed to plan
    time_point m_map_report_deadline{};      ///< until then, ranks may still report an older map
};

}  // namespace dewbeam::ranks
