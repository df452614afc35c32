/// \file
/// Calls the expert planner for one group: counts in, proposals for a new expert map out.
///
/// Each agent of a group asks its engine for its counts, once a second. The agent whose rank
/// coordinates the group feeds the planner with them and proposes its plans; the others only watch
/// whether their engine steps. The engine is the memory: a new coordinator reads the map in force
/// from it.
#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>

#include "dewbeam/configuration"
#include "dewbeam/engine"
#include "dewbeam/experts"
#include "dewbeam/group_map"
#include "dewbeam/http"

namespace dewbeam::agent {

/// What the planner weighs more for an upstream with these announced labels: what the first
/// selector, by name, says whose upstreams match; `skew` where none matches.
configuration::balance_preference balance_of(const configuration::document& rules,
                                             const configuration::label_set& announced);

/// The group that is balanced.
struct balancer_options {
    std::uint32_t m_ranks = 1;
    experts::move_cost m_move;
};

/// What a balancer asks of the agent around it; called without its lock.
struct balancer_hooks {
    std::function<group_map::phase()> m_phase;
    std::function<bool(const std::string& content)> m_propose;
    std::function<bool()> m_is_busy;  ///< whether the engine has work from this agent
    std::function<configuration::balance_preference()> m_preference;
};

/// The balancer of one rank. Thread-safe.
class expert_balancer : public std::enable_shared_from_this<expert_balancer> {
public:
    /// `engine` outlives the balancer.
    expert_balancer(const balancer_options& options, balancer_hooks hooks, http::client& engine,
                    time_point now);

    /// Asks the engine for its counts where it is time.
    void tick(time_point now);

    /// A change of the group's map ended, no matter who proposed it.
    void on_result(group_map::change_result result, time_point now);

    /// The skew to report: `measured`, or far more while a busy engine doesn't step.
    [[nodiscard]] double skew_for_routing(double measured, time_point now) const;

    /// What the planner does, for status pages.
    [[nodiscard]] nlohmann::json status(time_point now) const;

private:
    void on_answer(const absl::StatusOr<engine::expert_report>& report, time_point now);
    void watch_steps(const engine::expert_report& report, time_point now);
    bool follow_map(const engine::expert_report& report, time_point now);
    void feed(const engine::expert_report& report, time_point now);
    std::optional<std::string> decide(time_point now);
    void propose(const std::string& content, time_point now);

    balancer_options m_options;
    balancer_hooks m_hooks;
    http::client& m_engine;
    mutable std::mutex m_mutex;
    bool m_is_polling = false;
    time_point m_next_poll{};
    experts::stall_detector m_stalls;             ///< of this rank alone: the group steps as one
    std::optional<engine::expert_report> m_last;  ///< none: nothing to take a difference to
    time_point m_last_at{};
    std::optional<experts::planner> m_planner;  ///< none: another rank plans, or no map is readable
    std::uint64_t m_map_version = 0;            ///< of the planner's map
    std::optional<experts::plan> m_plan;        ///< proposed and not settled
    std::uint64_t m_decisions = 0;              ///< how often the planner was due
};

}  // namespace dewbeam::agent
