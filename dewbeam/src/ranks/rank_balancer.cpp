#include "dewbeam/src/ranks/rank_balancer.h"

#include <algorithm>
#include <utility>

namespace dewbeam::ranks {

namespace {

/// Which experts are in demand may change within seconds; what was counted a second ago is old.
constexpr std::chrono::milliseconds plan_interval{100};
constexpr std::chrono::milliseconds fast_average{200};
constexpr std::chrono::milliseconds slow_average{1500};
constexpr std::chrono::milliseconds forecast_ahead{300};
constexpr std::chrono::milliseconds scoring_span{600};
/// Between two samples lie one or two steps of 75 ms: one such span says little of their time.
constexpr std::chrono::milliseconds shortest_measurement{250};
/// Two samples of one demand differ by much less in a large group.
constexpr double jump = 0.1;
/// The switch itself costs no more than the round trips that a rank waits for at the step.
constexpr std::chrono::milliseconds switch_pause{5};
/// Share of a step that the experts take, where the engine's timing isn't published.
constexpr double usual_expert_share = 0.7;
/// While a rank fetches, its steps take about this much longer.
constexpr double fetch_slowdown = 0.15;
/// Experts of a layer that a rank fetches for one plan. Fetching is what a change waits for: a map
/// that follows demand in more and smaller changes is even sooner.
constexpr std::uint32_t most_new_in_one_plan = 1;
/// The ranks tell of a new map at their next poll after its first step; until then what they tell
/// is older than what this rank knows.
constexpr std::chrono::seconds longest_new_map_wait{3};
/// A group without counts to plan by for so long says so, and again each time it has passed.
constexpr std::chrono::seconds unsteered_log_interval{2};
constexpr std::size_t most_logged_ranks = 8;
/// A rank that planned nothing for longer doesn't coordinate.
constexpr std::chrono::seconds longest_change{5};

std::string to_text(const std::vector<rank_id>& ranks)
{
    std::string result;
    for (std::size_t i = 0; i < std::min(ranks.size(), most_logged_ranks); ++i) {
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
    // All ranks fetch at once, and steps go on meanwhile, only slower.
    const double rate = static_cast<double>(facts.m_fetch_rate.m_count) * ranks / fetch_slowdown;
    options.m_move.m_store_rate = {static_cast<std::int64_t>(rate)};
    options.m_move.m_switch_pause = switch_pause;
    options.m_forecast.m_fast = fast_average;
    options.m_forecast.m_slow = slow_average;
    options.m_forecast.m_ahead = forecast_ahead;
    options.m_forecast.m_scoring = scoring_span;
    options.m_forecast.m_jump = jump;
    options.m_interval = plan_interval;
    options.m_most_new_per_rank = std::min(facts.m_most_new, most_new_in_one_plan);
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

/// Takes the map that all ranks tell of, but for one that this rank put in force itself: waiting
/// until all had told of it again would leave no time for the next change. A group that forms anew
/// forgets that map: what its ranks tell then counts at once.
/// \returns whether the planner has the map in force
bool rank_balancer::follow_map(time_point now)
{
    if (m_planner && now < m_told_by && m_book.m_formation == m_changed_formation) {
        return true;
    }
    const auto number = experts::map_number(m_book);
    if (!number) {
        return false;
    }
    if (m_planner && m_planned_on == number) {
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
    m_planned_on = number;
    return true;
}

/// Takes in what was counted, also while a change is under way: demand has nothing to do with the
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
        return;  // the group has formed anew, and its map is not known yet
    }
    experts::observe(planner, *seen, now);
    m_has_news = true;
    const bool knows_map = seen->m_is_of_one_map && m_planned_on == m_book.m_observed_map;
    if (knows_map && planner.m_forecast.m_jumps == 0) {
        measure_steps(*seen);
    }
    else {
        m_measured = {};  // which load made those steps so long is not known
    }
}

/// Learns what a step's work is from a few steps of one map and one demand.
void rank_balancer::measure_steps(const experts::observation& seen)
{
    m_measured.m_steps += seen.m_steps;
    m_measured.m_span += seen.m_span;
    if (m_measured.m_span < shortest_measurement) {
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
        usual_expert_share * m_step_seconds * 1e6 / std::max(1.0, load.m_slowest);
}

/// A group whose counts don't come keeps its map, whatever is in demand.
void rank_balancer::watch_steering(time_point now)
{
    if (now > m_may_plan_at + longest_change) {
        m_observed_at = now;  // another rank planned until now
    }
    m_may_plan_at = now;
    if (now < m_observed_at + unsteered_log_interval || now < m_log_unsteered_at) {
        return;
    }
    m_log_unsteered_at = now + unsteered_log_interval;
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
    const auto begun = std::chrono::steady_clock::now();
    m_plan = experts::decide(planner, now);
    const auto took = std::chrono::steady_clock::now() - begun;
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
               {"map", *m_planned_on},
               {"counts_age_ms", to_milliseconds(now - m_observed_at)},
               {"planning_ms", std::chrono::duration<double, std::milli>(took).count()}});
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
            watch_steering(now);
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
    m_told_by = is_in_force ? now + longest_new_map_wait : now;
    if (is_in_force) {
        m_planned_on = change.m_settled.m_number;
        m_changed_formation = m_book.m_formation.value_or(0);
    }
}

}  // namespace dewbeam::ranks
