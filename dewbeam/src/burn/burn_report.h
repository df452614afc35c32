/// \file
/// Burn rates, alerts and budgets from the counts.
///
/// A burn rate is the share of bad outcomes over the share that the target allows: at 1 the budget
/// of 30 days is spent in just 30 days. An alert needs a long and a short window above the same
/// threshold: the long one shows that it matters, the short one that it still goes on.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/src/burn/burn.h"

namespace dewbeam::burn {

/// What a target is about.
enum class objective { availability, latency };

/// What an operator should do.
enum class alert { none, ticket, page };

/// A window that ends now.
struct window_shape {
    std::string_view m_name;
    time_span m_length = time_span::zero();
    std::size_t m_ring = 0;  ///< of `ring_shapes`
};

/// The windows of a report. A window ends with the bucket that is being filled.
inline constexpr std::array<window_shape, 6> window_shapes{{
    {"5m", std::chrono::minutes(5), 0},
    {"30m", std::chrono::minutes(30), 0},
    {"1h", std::chrono::hours(1), 0},
    {"6h", std::chrono::hours(6), 1},
    {"3d", std::chrono::hours(72), 2},
    {"30d", std::chrono::hours(720), 3},
}};

/// Two windows that must both burn faster than the threshold.
struct alert_rule {
    std::size_t m_short_window = 0;  ///< of `window_shapes`
    std::size_t m_long_window = 0;
    double m_threshold = 0.0;
    alert m_alert = alert::none;
};

/// Fast burn pages, slow burn pages, a budget that won't last opens a ticket.
inline constexpr std::array<alert_rule, 3> alert_rules{{
    {0, 2, 14.4, alert::page},
    {1, 3, 6.0, alert::page},
    {3, 4, 1.0, alert::ticket},
}};

/// One window of one objective.
struct window_burn {
    std::uint64_t m_requests = 0;  ///< 0: nothing is known of this window
    std::uint64_t m_bad = 0;
    double m_rate = 0.0;
};

/// A value over time, for plots.
struct plot_point {
    time_point m_at{};
    double m_value = 0.0;
};

/// One objective of one series.
struct objective_report {
    objective m_objective = objective::availability;
    double m_target = 0.0;  ///< share of requests that must be good
    std::array<window_burn, window_shapes.size()> m_windows;
    alert m_alert = alert::none;
    std::string m_alert_reason;         ///< the rule that fired; empty for none
    double m_budget_left = 1.0;         ///< of 30 days; below 0 when overspent
    std::vector<plot_point> m_rates;    ///< burn rate of each hour of the last 3 days
    std::vector<plot_point> m_budgets;  ///< budget left after each 6 hours of the last 30 days
};

/// All objectives under one key; latency only where the target has a limit.
struct series_report {
    series_key m_key;
    configuration::service_target m_target;
    std::vector<objective_report> m_objectives;
};

/// The report of a deployment.
struct report {
    time_point m_at{};
    std::vector<series_report> m_series;
    std::vector<host_id> m_hosts;    ///< entries whose counts are in it
    std::vector<host_id> m_missing;  ///< entries that could not be asked: not counted as good
};

/// Burn rates of the merged counts. `missing` is only carried along.
report evaluate(const state& counts, std::vector<host_id> hosts, std::vector<host_id> missing,
                time_point now);

/// The worst alert of a report.
alert worst_alert(const report& burn);

/// Names in reports.
const char* to_string(objective value);
const char* to_string(alert value);

/// The JSON form of a report.
nlohmann::json to_json(const report& burn);

}  // namespace dewbeam::burn
