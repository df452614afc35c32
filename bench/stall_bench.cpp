// One rank slows threefold for two seconds, another for good: how soon new work leaves the group,
// whether experts are moved, and what the group's steps take afterwards.
#include <algorithm>

#include "bench/planning_common/expert_traffic.h"
#include "bench/planning_common/json_line.h"

namespace dewbeam::bench {
namespace {

using namespace std::chrono_literals;

constexpr experts::group_shape shape{64, 4, 128, 4};
constexpr auto report_interval = 50ms;
constexpr double steps_per_report = 8;
constexpr double slowdown = 1.0 / 3;
constexpr auto stall_begins = 60s;

struct figures_of_run {
    double m_left_after_ms = -1;      ///< work leaves the group
    double m_returned_after_ms = -1;  ///< after the rank is normal again
    std::uint32_t m_plans_during = 0;
    double m_step_before = 0;
    double m_step_during = 0;  ///< right after the rank slowed
    double m_step_after = 0;   ///< at the end
};

/// One group whose rank 5 is slow from `stall_begins` until `until`.
class group_run {
public:
    explicit group_run(time_span until)
        : m_until(until),
          m_planner(make_planner(options(), experts::initial_map(shape), time_point{})),
          m_detector(experts::make_stall_detector({}, shape.m_ranks, time_point{})),
          m_traffic(shape, drift::slow, 128, 20'261'202)
    {
    }

    figures_of_run run(time_span length)
    {
        for (time_span at = report_interval; at <= length; at += report_interval) {
            report(at);
        }
        return m_figures;
    }

private:
    static experts::planner_options options()
    {
        experts::planner_options options;
        options.m_step.m_microseconds_per_token = 4.5;
        return options;
    }

    [[nodiscard]] bool is_slow(time_span at) const { return at > stall_begins && at <= m_until; }

    [[nodiscard]] experts::rank_times rank_times(time_span at,
                                                 const experts::rank_speeds& speeds) const
    {
        experts::rank_times times;
        for (std::uint32_t rank = 0; rank < shape.m_ranks; ++rank) {
            double tokens = 0;
            for (std::uint32_t layer = 0; layer < shape.m_layers; ++layer) {
                tokens += tokens_of(rank, layer);
            }
            const double predicted = 300 + 4.5 * tokens;
            times.m_predicted.emplace_back(static_cast<std::int64_t>(predicted));
            times.m_measured.emplace_back(static_cast<std::int64_t>(predicted / speeds[rank]));
        }
        (void)at;
        return times;
    }

    [[nodiscard]] double tokens_of(std::uint32_t rank, std::uint32_t layer) const
    {
        const auto& map = m_planner.m_map.m_layers[layer];
        double tokens = 0;
        for (std::uint32_t i = 0; i < shape.m_slots_per_rank; ++i) {
            const auto expert = map[rank * shape.m_slots_per_rank + i];
            const auto copies = std::count(map.begin(), map.end(), expert);
            tokens += m_counts[layer][expert.value()] / static_cast<double>(copies);
        }
        return tokens;
    }

    void report(time_span at)
    {
        const auto now = time_point{} + at;
        const auto second = std::chrono::duration_cast<std::chrono::seconds>(at).count();
        if (second != m_second || m_counts.empty()) {
            m_second = second;
            m_counts = m_traffic.next(second, steps_per_report * 20);
        }
        experts::rank_speeds speeds(shape.m_ranks, 1.0);
        speeds[5] = is_slow(at) ? slowdown : 1.0;
        experts::observe(m_detector, rank_times(at, speeds), now);
        const auto advice = experts::advise(m_detector, now);
        experts::observe(
            m_planner,
            {m_counts, steps_per_report, report_interval, advice.m_speeds, !advice.m_may_rebalance},
            now);
        if (const auto item = experts::decide(m_planner, now)) {
            m_figures.m_plans_during += is_slow(at) || is_slow(at - 1s) ? 1 : 0;
            experts::settle(m_planner, *item, true, now);
        }
        note(at, advice, speeds);
    }

    void note(time_span at, const experts::stall_advice& advice, const experts::rank_speeds& speeds)
    {
        const auto milliseconds = [](time_span span) {
            return std::chrono::duration<double, std::milli>(span).count();
        };
        const auto step = milliseconds(
            experts::predicted_step(m_planner.m_options.m_step, m_planner.m_map, m_counts, speeds));
        if (at == stall_begins) {
            m_figures.m_step_before = step;
        }
        if (at == stall_begins + report_interval) {
            m_figures.m_step_during = step;
        }
        m_figures.m_step_after = step;
        if (advice.m_route_around && m_figures.m_left_after_ms < 0) {
            m_figures.m_left_after_ms = milliseconds(at - stall_begins);
        }
        const bool is_over = at > m_until && !advice.m_route_around;
        if (is_over && m_figures.m_returned_after_ms < 0) {
            m_figures.m_returned_after_ms = milliseconds(at - m_until);
        }
    }

    time_span m_until;
    experts::planner m_planner;
    experts::stall_detector m_detector;
    expert_traffic m_traffic;
    experts::group_counts m_counts;
    std::int64_t m_second = -1;
    figures_of_run m_figures;
};

int main_of_bench()
{
    const auto brief = group_run(stall_begins + 2s).run(90s);
    const auto lasting = group_run(1h).run(180s);
    const json line{{"bench", "stall"},
                    {"short",
                     {{"work_left_after_ms", brief.m_left_after_ms},
                      {"work_returned_after_ms", brief.m_returned_after_ms},
                      {"plans_during", brief.m_plans_during},
                      {"met", brief.m_left_after_ms < 500 && brief.m_plans_during == 0}}},
                    {"lasting",
                     {{"work_left_after_ms", lasting.m_left_after_ms},
                      {"plans_during", lasting.m_plans_during},
                      {"step_ms_before", rounded(lasting.m_step_before)},
                      {"step_ms_slow", rounded(lasting.m_step_during)},
                      {"step_ms_after", rounded(lasting.m_step_after)},
                      {"baseline_step_ms", rounded(lasting.m_step_during)},
                      {"met", lasting.m_left_after_ms < 500 &&
                                  lasting.m_step_after <= lasting.m_step_before * 1.1}}},
                    {"aim",
                     "work moved off in under 500 ms; no rebalance for a short stall; lasting: "
                     "step within 10% of before"}};
    return print(line);
}

}  // namespace
}  // namespace dewbeam::bench

int main()
{
    return dewbeam::bench::main_of_bench();
}
