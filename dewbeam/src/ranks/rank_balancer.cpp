#include "dewbeam/src/ranks/rank_balancer.h"

#include <algorithm>
#include <utility>

namespace dewbeam::ranks {

namespace {

/// Expert demand may change within seconds; counts that are a second old are out of date.
constexpr std::chrono::milliseconds plan_interval{100};
constexpr std::chrono::milliseconds fast_average{200};
constexpr std::chrono::milliseconds slow_average{1500};
constexpr std::chrono::milliseconds forecast_ahead{300};
constexpr std::chrono::milliseconds scoring_span{600};
/// Samples are one or two steps of 75 ms apart, which is too short to measure the step time.
constexpr std::chrono::milliseconds min_measurement{250};
/// In a large group, two samples of the same demand differ by much less than this.
constexpr double jump = 0.1;
/// The switch itself costs only the round trips that a rank waits for at the step.
constexpr std::chrono::milliseconds switch_pause{5};
/// Share of the step time spent in the experts, for engines that don't publish their timing.
constexpr double default_expert_share = 0.7;
/// While a rank fetches experts, its steps take longer by about this fraction.
constexpr double fetch_slowdown = 0.15;
/// Maximum number of experts of a layer that a rank fetches for one plan. Fetching dominates the
/// time of a change, so a map is balanced sooner by more and smaller changes.
constexpr std::uint32_t max_new_in_one_plan = 1;
/// Full groups keep their pauses with this skew, but not with that of a change of demand. The first
/// few fetches of a plan bring a map down to it.
constexpr double relief_skew = 1.5;
/// The ranks report a new map at their next poll after its first step; until then their reports are
/// older than what this rank knows.
constexpr std::chrono::seconds max_new_map_wait{3};
/// Without usable counts for this long, a warning is logged; it is repeated at this interval.
constexpr std::chrono::seconds missing_counts_log_interval{2};
constexpr std::size_t max_logged_ranks = 8;
/// A rank that was not allowed to plan for longer than this has not been the coordinator.
constexpr std::chrono::seconds max_change{5};

std::string to_text(const std::vector<rank_id>& ranks)
{
    std::string result;
    for (std::size_t i = 0; i < std::min(ranks.size(), max_logged_ranks); ++i) {
        result += (i > 0 ? "," : "") + std::to_string(ranks[i].value());
    }
    return result;
}

experts::group_shape shape_of(const engine_facts& facts, std::uint32_t ranks)
{
    experts::group_shape shape;
    shape.m_ranks = ranks;
    shape.m_slots_per_rank = facts.m_places;
    shape.m_experts = facts.m_experts;
    shape.m_layers = facts.m_layers;
    return shape;
}

}  // namespace

experts::planner_options planner_options_of(const engine_facts& facts, std::uint32_t ranks)
{
    experts::planner_options options;
    options.m_move.m_expert_size = facts.m_expert_size;
    // All ranks fetch at the same time. Steps continue meanwhile, but more slowly.
    const double rate = static_cast<double>(facts.m_fetch_rate.m_count) * ranks / fetch_slowdown;
    options.m_move.m_store_rate = {static_cast<std::int64_t>(rate)};
    options.m_move.m_switch_pause = switch_pause;
    options.m_forecast.m_fast = fast_average;
    options.m_forecast.m_slow = slow_average;
    options.m_forecast.m_ahead = forecast_ahead;
    options.m_forecast.m_scoring = scoring_span;
    options.m_forecast.m_jump = jump;
    options.m_interval = plan_interval;
    options.m_relief_skew = facts.m_has_priorities ? relief_skew : 0.0;
    options.m_most_new_per_rank = std::min(facts.m_most_new, max_new_in_one_plan);
    return options;
}

rank_balancer::rank_balancer(const engine_facts& facts, std::uint32_t ranks,
                             std::function<bool(const std::string& content)> propose)
    : m_facts(facts),
      m_ranks(ranks),
      m_propose(std::move(propose)),
      m_book(experts::make_rank_book(shape_of(facts, ranks)))
{
}

void rank_balancer::take(experts::count_sample sample, time_point now)
{
    const std::lock_guard lock(m_mutex);
    const auto first = sample.m_ranks.empty() ? rank_id() : sample.m_ranks.front().first;
    if (!experts::note(m_book, std::move(sample), now)) {
        log_event(log_level::warning, "rank_counts_passed_over", {{"rank", first.value()}});
    }
}

/// Adopts the map that all ranks report. After this rank has put a map in force itself, reports are
/// not waited for: waiting until all ranks report the new map would leave no time for the next
/// change. A group that forms again drops that map, and its ranks' reports are used at once.
/// \returns whether the planner has the map in force
bool rank_balancer::follow_map(time_point now)
{
    if (m_planner && now < m_map_report_deadline && m_book.m_formation == m_changed_formation) {
        return true;
    }
    const auto number = experts::map_number(m_book);
    if (!number) {
        return false;
    }
    if (m_planner && m_planner_map_number == number) {
        return true;
    }
    auto map = experts::map_in_force(m_book);
    if (!map) {
        return false;
    }
    if (!m_planner || m_planner->m_map.m_shape != map->m_shape) {
        m_planner = experts::make_planner(planner_options_of(m_facts, m_ranks), *map, now);
    }
    m_planner->m_map = *std::move(map);
    log_event(log_level::info, "expert_map_followed", {{"map", *number}});
    m_planner_map_number = number;
    return true;
}

/// Processes new counts, also while a change is in progress, because demand doesn't depend on the
/// map.
void rank_balancer::observe(time_point now)
{
    const auto seen = experts::take_observation(m_book, now);
    m_observed_at = seen || m_observed_at == no_deadline ? now : m_observed_at;
    if (!seen || !m_planner) {
        return;
    }
    auto& planner = *m_planner;
    if (seen->m_tokens_per_step.front().size() != planner.m_map.m_shape.m_experts) {
        return;  // the group has formed again, and its map is not known yet
    }
    experts::observe(planner, *seen, now);
    m_has_news = true;
    const bool knows_map = seen->m_is_of_one_map && m_planner_map_number == m_book.m_observed_map;
    if (knows_map && planner.m_forecast.m_jumps == 0) {
        measure_steps(*seen);
    }
    else {
        m_measured = {};  // the load that those steps ran with is not known
    }
}

/// Estimates the work of a step from a few steps with the same map and the same demand.
void rank_balancer::measure_steps(const experts::observation& seen)
{
    m_measured.m_steps += seen.m_steps;
    m_measured.m_span += seen.m_span;
    if (m_measured.m_span < min_measurement) {
        return;
    }
    auto& planner = *m_planner;
    auto measured = seen;
    measured.m_steps = m_measured.m_steps;
    measured.m_span = m_measured.m_span;
    m_measured = {};
    m_has_measured = true;
    const auto load = experts::load_of(planner.m_map, seen.m_tokens_per_step);
    m_step_seconds = to_seconds(measured.m_span) / std::max(1.0, measured.m_steps);
    m_work = experts::tolerate(planner, m_facts.m_timing, tight_skews, measured);
    planner.m_options.m_step.m_microseconds_per_token =
        default_expert_share * m_step_seconds * 1e6 / std::max(1.0, load.m_slowest);
}

/// Logs a warning if no counts arrive: the group then keeps its map, whatever the demand.
void rank_balancer::log_missing_counts(time_point now)
{
    if (now > m_last_may_plan_at + max_change) {
        m_observed_at = now;  // another rank was planning until now
    }
    m_last_may_plan_at = now;
    if (now < m_observed_at + missing_counts_log_interval || now < m_next_missing_counts_log) {
        return;
    }
    m_next_missing_counts_log = now + missing_counts_log_interval;
    const auto silent = experts::silent_ranks(m_book);
    log_event(log_level::warning, "group_not_steered",
              {{"counts_age_ms", to_milliseconds(now - m_observed_at)},
               {"silent_ranks", silent.size()},
               {"of_ranks", m_ranks},
               {"first", to_text(silent)},
               {"formation", m_book.m_formation.value_or(0)}});
}

std::optional<std::string> rank_balancer::decide(time_point now)
{
    if (m_plan || !m_has_measured || !std::exchange(m_has_news, false)) {
        return std::nullopt;
    }
    auto& planner = *m_planner;
    const auto started = std::chrono::steady_clock::now();
    m_plan = experts::decide(planner, now);
    const auto elapsed = std::chrono::steady_clock::now() - started;
    if (!m_plan) {
        return std::nullopt;
    }
    log_event(log_level::info, "expert_plan",
              {{"moves", m_plan->m_moves.size()},
               {"skew_before", m_plan->m_skew_before},
               {"skew_after", m_plan->m_skew_after},
               {"step_ms", m_step_seconds * 1000.0},
               {"work_ms", m_work * 1000.0},
               {"tolerated_skew", planner.m_options.m_tolerated_skew},
               {"map", *m_planner_map_number},
               {"counts_age_ms", to_milliseconds(now - m_observed_at)},
               {"planning_ms", std::chrono::duration<double, std::milli>(elapsed).count()}});
    return to_json(experts::to_lists(m_plan->m_map, m_facts.m_experts));
}

void rank_balancer::tick(bool may_plan, time_point now)
{
    std::optional<std::string> content;
    {
        const std::lock_guard lock(m_mutex);
        const bool knows_map = m_plan || follow_map(now);
        observe(now);
        if (may_plan) {
            log_missing_counts(now);
        }
        if (may_plan && knows_map) {
            content = decide(now);
        }
    }
    if (content && !m_propose(*content)) {
        on_change({group_map::change_result::given_up, {}, {}}, now);
    }
}

void rank_balancer::on_change(const group_map::ended_change& change, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_plan || !m_planner) {
        return;
    }
    const auto last = *std::exchange(m_plan, std::nullopt);
    const bool is_in_force = change.m_result == group_map::change_result::committed;
    experts::settle(*m_planner, last, is_in_force, now);
    m_map_report_deadline = is_in_force ? now + max_new_map_wait : now;
    if (is_in_force) {
        m_planner_map_number = change.m_settled.m_number;
        m_changed_formation = m_book.m_formation.value_or(0);
    }
}

}  // namespace dewbeam::ranks
