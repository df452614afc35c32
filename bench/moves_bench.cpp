// What moving experts gains and costs in a group whose demand for experts shifts: never, always to
// an even map, and only where steps come near the pause objective.
#include <algorithm>
#include <cmath>

#include "bench/planning_common/json_line.h"
#include "dewbeam/src/ranks/rank_balancer.h"

namespace dewbeam::bench {
namespace {

using namespace std::chrono_literals;

constexpr time_span run_length = 120s;
constexpr time_span counts_interval = 120ms;
/// Demand for this share of a layer's experts changes at once.
constexpr time_span shift_interval = 3500ms;
constexpr double shifted_share = 0.6;
constexpr double popularity_exponent = 1.0;
constexpr double tokens_per_step = 4096;
/// Messages of a change of map, beside the fetching.
constexpr time_span switch_time = 100ms;
constexpr double fetch_slowdown = 1.15;

enum class policy { never, even, tolerant };

const char* to_string(policy value)
{
    switch (value) {
        case policy::never:
            return "never";
        case policy::even:
            return "even";
        case policy::tolerant:
            break;
    }
    return "tolerant";
}

struct group_kind {
    experts::group_shape m_shape;
    double m_work = 0.0;  ///< seconds for tokens in a step with an even map
};

ranks::engine_facts facts_of(const experts::group_shape& shape)
{
    ranks::engine_facts facts;
    facts.m_layers = shape.m_layers;
    facts.m_experts = shape.m_experts;
    facts.m_places = shape.m_slots_per_rank;
    facts.m_most_new = 4;
    facts.m_expert_size = {580'000'000};
    facts.m_fetch_rate = {11'500'000'000};
    facts.m_timing = {std::chrono::microseconds(29'250), 0.85, 120ms};
    return facts;
}

/// A group in virtual time.
class group_run {
public:
    group_run(const group_kind& kind, policy how)
        : m_kind(kind),
          m_policy(how),
          m_facts(facts_of(kind.m_shape)),
          m_planner(experts::make_planner(ranks::planner_options_of(m_facts, kind.m_shape.m_ranks),
                                          experts::initial_map(kind.m_shape), time_point{}))
    {
        for (std::uint32_t layer = 0; layer < kind.m_shape.m_layers; ++layer) {
            m_order.emplace_back(kind.m_shape.m_experts);
            for (std::uint32_t expert = 0; expert < kind.m_shape.m_experts; ++expert) {
                m_order.back()[expert] = expert;
            }
        }
    }

    json run()
    {
        m_next_shift = m_now + shift_interval;
        for (auto next_counts = m_now + counts_interval; m_now < time_point{} + run_length;) {
            if (m_now >= m_next_shift) {
                shift();
            }
            step();
            if (m_now >= next_counts) {
                next_counts = m_now + counts_interval;
                plan();
            }
        }
        return {{"fetched_experts_per_s", rounded(m_fetched / to_seconds(run_length))},
                {"steps_over_objective", rounded(m_late_time / to_seconds(run_length))},
                {"mean_step_ms", rounded(1000.0 * to_seconds(run_length) / m_steps_in_all)}};
    }

private:
    [[nodiscard]] experts::group_counts counts() const
    {
        experts::group_counts result;
        for (const auto& order : m_order) {
            experts::layer_counts layer(order.size());
            double sum = 0.0;
            for (std::size_t place = 0; place < order.size(); ++place) {
                layer[order[place]] =
                    std::pow(static_cast<double>(place + 1), -popularity_exponent);
                sum += layer[order[place]];
            }
            for (auto& value : layer) {
                value *= tokens_per_step / sum;
            }
            result.push_back(std::move(layer));
        }
        return result;
    }

    void shift()
    {
        m_next_shift = m_now + shift_interval;
        for (auto& order : m_order) {
            const auto changes =
                static_cast<std::size_t>(shifted_share * static_cast<double>(order.size()));
            for (std::size_t i = 0; i < changes; ++i) {
                std::swap(order[uniform_below(m_random, order.size())],
                          order[uniform_below(m_random, order.size())]);
            }
        }
    }

    /// One step; its time counts as late where it is longer than the objective.
    void step()
    {
        const double skew = experts::skew(experts::load_of(m_planner.m_map, counts()));
        const auto& timing = m_facts.m_timing;
        const double share = timing.m_expert_share;
        double took = to_seconds(timing.m_fixed) + m_kind.m_work * (1.0 - share + share * skew);
        took *= m_plan ? fetch_slowdown : 1.0;
        m_now += std::chrono::microseconds(static_cast<std::int64_t>(took * 1e6));
        m_late_time += took > to_seconds(timing.m_pause_objective) ? took : 0.0;
        ++m_steps_in_all;
        ++m_steps;
        if (m_plan && m_now >= m_in_force_at) {
            m_fetched += static_cast<double>(m_plan->m_moves.size());
            experts::settle(m_planner, *m_plan, true, m_now);
            m_plan.reset();
        }
    }

    void plan()
    {
        const experts::observation seen{counts(), m_steps, m_now - m_observed_at, {}, false};
        m_steps = 0;
        m_observed_at = m_now;
        if (m_policy == policy::never) {
            return;
        }
        experts::observe(m_planner, seen, m_now);
        const auto timing =
            m_policy == policy::tolerant ? m_facts.m_timing : experts::step_timing{};
        experts::tolerate(m_planner, timing, ranks::tight_skews, seen);
        m_planner.m_options.m_step.m_microseconds_per_token =
            m_kind.m_work * 1e6 /
            std::max(1.0, experts::load_of(m_planner.m_map, seen.m_tokens_per_step).m_mean);
        if (m_plan) {
            return;
        }
        m_plan = experts::decide(m_planner, m_now);
        if (!m_plan) {
            return;
        }
        std::vector<std::uint32_t> by_rank(m_kind.m_shape.m_ranks, 0);
        for (const auto& move : m_plan->m_moves) {
            ++by_rank[move.m_rank.value()];
        }
        const auto expert_time = std::chrono::microseconds(
            m_facts.m_expert_size.m_count * 1'000'000 / m_facts.m_fetch_rate.m_count);
        const auto most = by_rank.empty() ? 0 : *std::max_element(by_rank.begin(), by_rank.end());
        m_in_force_at = m_now + switch_time + expert_time * most;
    }

    group_kind m_kind;
    policy m_policy;
    ranks::engine_facts m_facts;
    experts::planner m_planner;
    std::vector<std::vector<std::uint32_t>> m_order;  ///< experts by demand, by layer
    std::optional<experts::plan> m_plan;              ///< being fetched
    time_point m_in_force_at{};
    time_point m_next_shift{};
    time_point m_now{};
    time_point m_observed_at{};
    double m_steps = 0;
    double m_steps_in_all = 0;
    double m_fetched = 0;
    double m_late_time = 0.0;
    random_engine m_random{20'261'203};
};

int main_of_bench()
{
    json line{
        {"bench", "moves"},
        {"aim", "tolerant: as little time over the objective as even, within 0.02; fewer fetches"}};
    const std::vector<experts::group_shape> shapes{
        {8, 11, 64, 6}, {12, 8, 72, 4}, {63, 5, 252, 8}, {256, 2, 256, 4}};
    for (const auto& shape : shapes) {
        for (const auto& [load, work] : {std::pair("calm", 0.012), std::pair("busy", 0.030)}) {
            json cell;
            for (const auto how : {policy::never, policy::even, policy::tolerant}) {
                cell[to_string(how)] = group_run({shape, work}, how).run();
            }
            line[std::to_string(shape.m_ranks) + "_ranks_" + load] = std::move(cell);
        }
    }
    return print(line);
}

}  // namespace
}  // namespace dewbeam::bench

int main()
{
    return dewbeam::bench::main_of_bench();
}
