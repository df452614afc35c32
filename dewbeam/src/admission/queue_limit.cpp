#include "dewbeam/src/admission/queue_limit.h"

#include <algorithm>

namespace dewbeam::admission {

namespace {

constexpr time_span window = std::chrono::milliseconds(500);
constexpr double rate_gain = 0.3;
/// Return times are spread by this share, so that callers who were refused together come apart.
constexpr double spread = 0.2;

time_span to_span(double value)
{
    constexpr double longest = 3600.0;
    return std::chrono::duration_cast<time_span>(
        std::chrono::duration<double>(std::clamp(value, 0.0, longest)));
}

}  // namespace

void note_drained(drain_meter& meter, double cost)
{
    meter.m_window_cost += cost;
}

void advance(drain_meter& meter, bool is_waiting, time_point now)
{
    const auto passed = now - meter.m_window_start;
    if (passed >= window) {
        if (meter.m_was_waiting) {
            const double rate = meter.m_window_cost / to_seconds(passed);
            meter.m_rate =
                meter.m_rate == 0.0 ? rate : meter.m_rate + rate_gain * (rate - meter.m_rate);
        }
        meter = {now, 0.0, is_waiting, meter.m_rate};
    }
    meter.m_was_waiting = meter.m_was_waiting && is_waiting;
}

time_span expected_wait(const queue_facts& facts, const drain_meter& meter)
{
    if (facts.m_cost_before <= 0.0 || meter.m_rate <= 0.0) {
        return time_span::zero();
    }
    return to_span(facts.m_cost_before / (meter.m_rate * facts.m_share));
}

bool may_wait(const queue_facts& facts, const queue_options& options, const drain_meter& meter,
              time_point now, time_point deadline)
{
    // A workspace may queue as much as is left free: a newcomer always finds room.
    const auto left = options.m_most_queued - std::min(options.m_most_queued, facts.m_queued);
    if (facts.m_own_queued >= left) {
        return false;
    }
    const auto wait = expected_wait(facts, meter);
    return wait <= options.m_longest_wait &&
           (deadline == no_deadline || now + wait + facts.m_run_time <= deadline);
}

time_point next_return(return_line& line, const queue_options& options, const drain_meter& meter,
                       double cost, time_span wait, time_point now, random_engine& random)
{
    const auto place = meter.m_rate > 0.0 ? to_span(cost / meter.m_rate) : time_span::zero();
    const auto first = now + std::max(wait, options.m_shortest_return);
    const auto last = now + options.m_longest_return;
    line.m_end = std::min(std::max(line.m_end, first) + place, last);
    const double factor = 1.0 + spread * uniform_unit(random);
    return now + to_span(to_seconds(line.m_end - now) * factor);
}

}  // namespace dewbeam::admission
