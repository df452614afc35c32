#include "dewbeam/src/agent/expert_balancer.h"

#include <algorithm>
#include <utility>

#include "dewbeam/src/program/program.h"

namespace dewbeam::agent {

namespace {

using engine::expert_report;
using group_map::change_result;
using group_map::phase;

constexpr std::chrono::seconds poll_interval{1};
/// An engine is silent when two polls in a row saw no step.
constexpr time_span silence_limit = 2 * poll_interval;
/// Reported while the group stalls. Routing counts it as about ten seconds of waiting, so that
/// even an upstream that just got much work is better.
constexpr double stalled_skew = 100.0;
constexpr int status_ok = 200;

/// The body of one answer while it arrives.
struct answer_buffer {
    int m_status = 0;
    std::string m_body;
};

absl::StatusOr<expert_report> read_answer(const absl::Status& result, const answer_buffer& buffer)
{
    if (!result.ok() || buffer.m_status != status_ok) {
        return absl::UnavailableError("the engine says nothing of its experts");
    }
    return engine::report_from_json(buffer.m_body);
}

experts::stall_detector make_detector(time_point now)
{
    experts::stall_options options;
    options.m_silence = silence_limit;
    return experts::make_stall_detector(options, 1, now);
}

bool coordinates(phase value)
{
    return value != phase::inactive && value != phase::broken;
}

/// The map in force; none where an operator's own map can't be read as one of this group.
std::optional<experts::expert_map> map_in_force(const expert_report& report, std::uint32_t ranks)
{
    auto shape = report.m_shape;
    shape.m_ranks = ranks;
    if (experts::slots_per_layer(shape) < shape.m_experts) {
        return std::nullopt;
    }
    if (report.m_map_version == 0) {
        return experts::initial_map(shape);
    }
    auto map = engine::map_from_json(report.m_map);
    if (!map.ok() || map->m_shape != shape) {
        return std::nullopt;
    }
    return *std::move(map);
}

/// Tokens of each expert for each step between two reports of one life and one shape.
experts::group_counts tokens_per_step(const expert_report& before, const expert_report& after)
{
    const auto steps = static_cast<double>(after.m_steps - before.m_steps);
    auto counts = after.m_counts;
    for (std::size_t layer = 0; layer < counts.size(); ++layer) {
        for (std::size_t expert = 0; expert < counts[layer].size(); ++expert) {
            const double tokens = counts[layer][expert] - before.m_counts[layer][expert];
            counts[layer][expert] = std::max(0.0, tokens) / steps;
        }
    }
    return counts;
}

}  // namespace

configuration::balance_preference balance_of(const configuration::document& rules,
                                             const configuration::label_set& announced)
{
    const auto labels = configuration::effective_labels(rules, announced);
    for (const auto& work : rules.m_selectors) {
        if (configuration::matches(work.m_upstreams, labels)) {
            return work.m_balance;
        }
    }
    return configuration::balance_preference::skew;
}

expert_balancer::expert_balancer(const balancer_options& options, balancer_hooks hooks,
                                 http::client& engine, time_point now)
    : m_options(options), m_hooks(std::move(hooks)), m_engine(engine), m_stalls(make_detector(now))
{
}

void expert_balancer::tick(time_point now)
{
    const bool is_busy = m_hooks.m_is_busy();
    {
        const std::lock_guard lock(m_mutex);
        experts::set_busy(m_stalls, is_busy, now);
        if (m_is_polling || now < m_next_poll) {
            return;
        }
        m_is_polling = true;
        m_next_poll = now + poll_interval;
    }
    auto buffer = std::make_shared<answer_buffer>();
    http::client_handlers handlers;
    handlers.m_on_head = [buffer](int status, const http::fields&) { buffer->m_status = status; };
    handlers.m_on_data = [buffer](std::string bytes) { buffer->m_body += bytes; };
    handlers.m_on_end = [buffer, weak = weak_from_this()](const absl::Status& result,
                                                          http::progress) {
        if (const auto self = weak.lock()) {
            self->on_answer(read_answer(result, *buffer), program::now());
        }
    };
    m_engine.start({"GET", "/experts", {}, {}}, std::move(handlers));
}

void expert_balancer::on_answer(const absl::StatusOr<expert_report>& report, time_point now)
{
    const auto current = m_hooks.m_phase();
    const auto preference = m_hooks.m_preference();
    std::optional<std::string> proposal;
    {
        const std::lock_guard lock(m_mutex);
        m_is_polling = false;
        if (!report.ok()) {
            return;
        }
        watch_steps(*report, now);
        if (!coordinates(current)) {
            m_planner.reset();
            m_plan.reset();
        }
        else if (follow_map(*report, now)) {
            m_planner->m_options.m_preference = preference;
            feed(*report, now);
        }
        m_last = *report;
        m_last_at = now;
        if (current == phase::settled) {
            proposal = decide(now);
        }
    }
    if (proposal) {
        propose(*proposal, now);
    }
}

/// An engine that was restarted begins anew, and so does what is known of it.
void expert_balancer::watch_steps(const expert_report& report, time_point now)
{
    const bool is_same =
        m_last && report.m_steps >= m_last->m_steps && report.m_shape == m_last->m_shape;
    if (!is_same) {
        m_last.reset();
        m_planner.reset();
        m_plan.reset();
    }
    if (!m_last || report.m_steps > m_last->m_steps) {
        // One rank is always as fast as the median: only its silence is judged here.
        experts::observe(m_stalls, {{report.m_step_time}, {report.m_step_time}}, now);
    }
}

/// Makes the planner work on the map that the engine uses. \returns whether there is a planner
bool expert_balancer::follow_map(const expert_report& report, time_point now)
{
    if (m_planner && (m_plan || report.m_map_version < m_map_version)) {
        return true;  // a change is under way, or this was said before it was committed
    }
    const auto map = map_in_force(report, m_options.m_ranks);
    if (m_planner && map == m_planner->m_map) {
        return true;
    }
    m_planner.reset();
    if (map) {
        experts::planner_options options;
        options.m_move = m_options.m_move;
        m_planner = experts::make_planner(options, *map, now);
        m_map_version = report.m_map_version;
    }
    return m_planner.has_value();
}

void expert_balancer::feed(const expert_report& report, time_point now)
{
    if (!m_last || report.m_steps == m_last->m_steps) {
        return;
    }
    experts::observation seen;
    seen.m_tokens_per_step = tokens_per_step(*m_last, report);
    seen.m_steps = static_cast<double>(report.m_steps - m_last->m_steps);
    seen.m_span = now - m_last_at;
    seen.m_is_stalled = !experts::advise(m_stalls, now).m_may_rebalance;
    experts::observe(*m_planner, seen, now);
}

/// The content of the map to propose now.
std::optional<std::string> expert_balancer::decide(time_point now)
{
    const bool may_plan = m_planner && !m_plan && experts::advise(m_stalls, now).m_may_rebalance;
    if (!may_plan) {
        return std::nullopt;
    }
    const auto due = m_planner->m_plan_at;
    m_plan = experts::decide(*m_planner, now);
    m_decisions += m_planner->m_plan_at != due ? 1 : 0;
    if (!m_plan) {
        return std::nullopt;
    }
    log_event(log_level::info, "expert_plan",
              {{"moves", m_plan->m_moves.size()},
               {"skew_before", m_plan->m_skew_before},
               {"skew_after", m_plan->m_skew_after}});
    return engine::map_to_json(m_plan->m_map);
}

void expert_balancer::propose(const std::string& content, time_point now)
{
    if (!m_hooks.m_propose(content)) {
        on_result(change_result::given_up, now);  // another change came first
    }
}

void expert_balancer::on_result(change_result result, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (!m_plan || !m_planner) {
        return;  // an operator's map; the engine will tell it
    }
    const auto last = *std::exchange(m_plan, std::nullopt);
    if (result == change_result::lost) {
        m_planner.reset();  // the engine will tell which map it was
        return;
    }
    const bool is_in_force = result == change_result::committed;
    experts::settle(*m_planner, last, is_in_force, now);
    m_map_version += is_in_force ? 1 : 0;
}

double expert_balancer::skew_for_routing(double measured, time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return experts::advise(m_stalls, now).m_route_around ? std::max(measured, stalled_skew)
                                                         : measured;
}

nlohmann::json expert_balancer::status(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const bool is_known = m_planner && !m_planner->m_forecast.m_fast.empty();
    const auto load = is_known ? experts::load_of(m_planner->m_map, predict(m_planner->m_forecast))
                               : experts::layer_load();
    return {{"plans", m_planner.has_value()},
            {"decisions", m_decisions},
            {"moving", m_plan.has_value()},
            {"skew", experts::skew(load)},
            {"stalled", experts::advise(m_stalls, now).m_route_around}};
}

}  // namespace dewbeam::agent
