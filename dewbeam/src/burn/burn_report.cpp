#include "dewbeam/src/burn/burn_report.h"

#include <algorithm>

namespace dewbeam::burn {

namespace {

using json = nlohmann::json;

constexpr std::size_t hourly_ring = 2;
constexpr std::size_t budget_ring = 3;
constexpr std::size_t budget_window = 5;

/// Requests of a bucket that an objective looks at, and the bad ones among them.
struct tally {
    std::uint64_t m_requests = 0;
    std::uint64_t m_bad = 0;
};

tally tally_of(objective kind, const bucket& item)
{
    if (kind == objective::latency) {
        return {item.m_served, item.m_slow};
    }
    return {item.m_served + item.m_failed, item.m_failed};
}

std::int64_t current_number(std::size_t ring_index, time_point now)
{
    return now.time_since_epoch() / ring_shapes[ring_index].m_width;
}

/// The bucket of that number, or an empty one where the ring doesn't hold it.
bucket bucket_at(const ring& buckets, std::int64_t number)
{
    if (number < 0) {
        return {};
    }
    const auto& place = buckets[static_cast<std::size_t>(number) % buckets.size()];
    return place.m_number == number ? place : bucket{};
}

tally window_tally(const series& counts, objective kind, const window_shape& window, time_point now)
{
    const auto last = current_number(window.m_ring, now);
    const auto count = window.m_length / ring_shapes[window.m_ring].m_width;
    tally sum;
    for (auto number = last - count + 1; number <= last; ++number) {
        const auto one = tally_of(kind, bucket_at(counts.m_rings[window.m_ring], number));
        sum.m_requests += one.m_requests;
        sum.m_bad += one.m_bad;
    }
    return sum;
}

double burn_rate(const tally& sum, double target)
{
    if (sum.m_requests == 0) {
        return 0.0;
    }
    const auto share = static_cast<double>(sum.m_bad) / static_cast<double>(sum.m_requests);
    return share / (1.0 - target);
}

void raise_alerts(objective_report& result)
{
    for (const auto& rule : alert_rules) {
        const auto& short_window = result.m_windows[rule.m_short_window];
        const auto& long_window = result.m_windows[rule.m_long_window];
        const bool fires =
            short_window.m_rate >= rule.m_threshold && long_window.m_rate >= rule.m_threshold;
        if (fires && rule.m_alert > result.m_alert) {
            result.m_alert = rule.m_alert;
            result.m_alert_reason = std::string(window_shapes[rule.m_short_window].m_name) +
                                    " and " +
                                    std::string(window_shapes[rule.m_long_window].m_name) +
                                    " burn at " + json(rule.m_threshold).dump() + " or more";
        }
    }
}

time_point end_of(std::size_t ring_index, std::int64_t number)
{
    return time_point(ring_shapes[ring_index].m_width * (number + 1));
}

std::vector<plot_point> hourly_rates(const series& counts, objective kind, double target,
                                     time_point now)
{
    const auto last = current_number(hourly_ring, now);
    const auto count = static_cast<std::int64_t>(ring_shapes[hourly_ring].m_count);
    std::vector<plot_point> points;
    for (auto number = last - count + 1; number <= last; ++number) {
        const auto one = tally_of(kind, bucket_at(counts.m_rings[hourly_ring], number));
        points.push_back({end_of(hourly_ring, number), burn_rate(one, target)});
    }
    return points;
}

double budget_left(std::uint64_t bad, std::uint64_t requests, double target)
{
    if (requests == 0) {
        return 1.0;
    }
    return 1.0 - static_cast<double>(bad) / (static_cast<double>(requests) * (1.0 - target));
}

/// The budget is that of all requests of the window, so the line only falls.
std::vector<plot_point> budgets(const series& counts, objective kind, double target,
                                std::uint64_t requests, time_point now)
{
    const auto last = current_number(budget_ring, now);
    const auto count = static_cast<std::int64_t>(ring_shapes[budget_ring].m_count);
    std::vector<plot_point> points;
    std::uint64_t bad = 0;
    for (auto number = last - count + 1; number <= last; ++number) {
        bad += tally_of(kind, bucket_at(counts.m_rings[budget_ring], number)).m_bad;
        points.push_back({end_of(budget_ring, number), budget_left(bad, requests, target)});
    }
    return points;
}

objective_report report_objective(const series& counts, objective kind, double target,
                                  time_point now)
{
    objective_report result;
    result.m_objective = kind;
    result.m_target = target;
    for (std::size_t i = 0; i < window_shapes.size(); ++i) {
        const auto sum = window_tally(counts, kind, window_shapes[i], now);
        result.m_windows[i] = {sum.m_requests, sum.m_bad, burn_rate(sum, target)};
    }
    raise_alerts(result);
    const auto& month = result.m_windows[budget_window];
    result.m_budget_left = budget_left(month.m_bad, month.m_requests, target);
    result.m_rates = hourly_rates(counts, kind, target, now);
    result.m_budgets = budgets(counts, kind, target, month.m_requests, now);
    return result;
}

series_report report_series(const series& counts, time_point now)
{
    const auto& target = counts.m_target;
    series_report result{counts.m_key, target, {}};
    result.m_objectives.push_back(
        report_objective(counts, objective::availability, target.m_availability, now));
    if (target.m_latency > time_span::zero()) {
        result.m_objectives.push_back(
            report_objective(counts, objective::latency, target.m_latency_share, now));
    }
    return result;
}

json to_json(const std::vector<plot_point>& points)
{
    json result = json::array();
    for (const auto& item : points) {
        const auto at = std::chrono::floor<std::chrono::seconds>(item.m_at.time_since_epoch());
        result.push_back({at.count(), item.m_value});
    }
    return result;
}

json to_json(const objective_report& item)
{
    json windows = json::object();
    for (std::size_t i = 0; i < window_shapes.size(); ++i) {
        const auto& window = item.m_windows[i];
        windows[std::string(window_shapes[i].m_name)] = {
            {"requests", window.m_requests}, {"bad", window.m_bad}, {"burn_rate", window.m_rate}};
    }
    return {{"objective", to_string(item.m_objective)},
            {"target", item.m_target},
            {"windows", windows},
            {"alert", to_string(item.m_alert)},
            {"alert_reason", item.m_alert_reason},
            {"budget_left", item.m_budget_left},
            {"hourly_burn_rates", to_json(item.m_rates)},
            {"budgets_left", to_json(item.m_budgets)}};
}

json names(const std::vector<host_id>& hosts)
{
    json result = json::array();
    for (const auto& item : hosts) {
        result.push_back(item.value());
    }
    return result;
}

}  // namespace

report evaluate(const state& counts, std::vector<host_id> hosts, std::vector<host_id> missing,
                time_point now)
{
    report result{now, {}, std::move(hosts), std::move(missing)};
    for (const auto& item : counts.m_series) {
        result.m_series.push_back(report_series(item, now));
    }
    return result;
}

alert worst_alert(const report& burn)
{
    auto worst = alert::none;
    for (const auto& item : burn.m_series) {
        for (const auto& objective : item.m_objectives) {
            worst = std::max(worst, objective.m_alert);
        }
    }
    return worst;
}

const char* to_string(objective value)
{
    return value == objective::latency ? "latency" : "availability";
}

const char* to_string(alert value)
{
    switch (value) {
        case alert::none:
            return "none";
        case alert::ticket:
            return "ticket";
        case alert::page:
            break;
    }
    return "page";
}

json to_json(const report& burn)
{
    json all = json::array();
    for (const auto& item : burn.m_series) {
        json objectives = json::array();
        for (const auto& objective : item.m_objectives) {
            objectives.push_back(to_json(objective));
        }
        all.push_back(
            {{"selector", item.m_key.m_selector},
             {"workspace_class", item.m_key.m_workspace_class},
             {"latency_limit_ms", static_cast<double>(item.m_target.m_latency.count()) / 1000.0},
             {"objectives", objectives}});
    }
    return {{"at_us", burn.m_at.time_since_epoch().count()},
            {"hosts", names(burn.m_hosts)},
            {"missing", names(burn.m_missing)},
            {"series", all}};
}

}  // namespace dewbeam::burn
