/// \file
/// Plans the expert map of one group, at the rank that coordinates it.
#pragma once

#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "dewbeam/experts"
#include "dewbeam/group_map"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// A layer is worked on above the first, down to the second, where steps are long.
inline constexpr experts::skew_band tight_skews{1.12, 1.04};

/// How the maps of a group of such engines are planned.
experts::planner_options planner_options_of(const engine_facts& facts, std::uint32_t ranks);

/// The balancer. Thread-safe.
class rank_balancer {
public:
    /// `propose` starts a change of the map and says whether it was taken on.
    rank_balancer(const engine_facts& facts, std::uint32_t ranks,
                  std::function<bool(const std::string& content)> propose);

    /// Ranks told what they counted and hold.
    void take(experts::count_sample sample, time_point now);

    /// Plans where it is time to; `may_plan`: the group runs and no change is under way.
    void tick(bool may_plan, time_point now);

    /// A change that this rank proposed has ended.
    void on_change(const group_map::ended_change& change, time_point now);

private:
    [[nodiscard]] bool follow_map(time_point now);
    void observe(time_point now);
    void measure_steps(const experts::observation& seen);
    std::optional<std::string> decide(time_point now);
    void watch_steering(time_point now);

    engine_facts m_facts;
    std::uint32_t m_ranks;
    std::function<bool(const std::string&)> m_propose;
    std::mutex m_mutex;
    experts::rank_book m_book;
    std::optional<experts::planner> m_planner;
    std::optional<std::uint64_t> m_planned_on;  ///< number of the map that the planner has
    std::optional<experts::plan> m_plan;        ///< proposed and not ended
    bool m_has_news = false;                    ///< observed since the last decision
    experts::observation m_measured;            ///< steps and span since the last measurement
    bool m_has_measured = false;                ///< which skew does no harm is known
    double m_step_seconds = 0.0;                ///< of a step, at the last measurement
    double m_work = 0.0;                        ///< seconds for tokens in a step
    std::uint64_t m_changed_formation = 0;      ///< of the group, when a map was put in force
    time_point m_observed_at = no_deadline;     ///< or when this rank began to plan
    time_point m_log_unsteered_at{};            ///< not before
    time_point m_may_plan_at{};                 ///< when this rank last might
    time_point m_told_by{};  ///< by then all ranks tell of the map that was put in force
};

}  // namespace dewbeam::ranks
