#include "dewbeam/src/operators/burn_page.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <chrono>

#include "dewbeam/src/operators/html.h"

namespace dewbeam::operators {

namespace {

constexpr double percent = 100.0;
constexpr double least_rate_axis = 2.0;
constexpr double fast_burn = 14.4;
constexpr double budget_axis_least = 0.0;

/// Day and time of day in UTC; `now` counts from the Unix epoch here.
std::string time_text(time_point at)
{
    using namespace std::chrono;
    const sys_time<minutes> minute(floor<minutes>(at.time_since_epoch()));
    const auto day = floor<days>(minute);
    const year_month_day date(day);
    const hh_mm_ss time(minute - day);
    return absl::StrFormat("%d-%02d-%02d %02d:%02d UTC", static_cast<int>(date.year()),
                           static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                           time.hours().count(), time.minutes().count());
}

std::string tag(burn::alert level)
{
    const char* text = level == burn::alert::none ? "fine" : burn::to_string(level);
    return absl::StrFormat("<span class=\"tag %s\">%s</span>", burn::to_string(level), text);
}

std::string banner(const char* kind, const std::string& text)
{
    return absl::StrFormat("<div class=\"banner %s\">%s</div>", kind, escape_html(text));
}

std::string names(const std::vector<host_id>& hosts)
{
    std::string text;
    for (const auto& item : hosts) {
        text += (text.empty() ? "" : ", ") + item.value();
    }
    return text;
}

std::string summary_banner(const burn::report& report)
{
    if (report.m_series.empty()) {
        return banner("ticket", "No request has been counted in the last 30 days.");
    }
    switch (burn::worst_alert(report)) {
        case burn::alert::page:
            return banner("page", "A budget burns fast: someone should look now.");
        case burn::alert::ticket:
            return banner("ticket", "A budget won't last its 30 days at this rate.");
        case burn::alert::none:
            break;
    }
    return banner("none", "All budgets last.");
}

std::string missing_banner(const burn::report& report)
{
    if (report.m_missing.empty()) {
        return {};
    }
    return banner("page", "Missing from these figures, and not counted as good: " +
                              names(report.m_missing) + ".");
}

std::string cell(const std::string& text, const char* kind = "")
{
    return absl::StrFormat("<td class=\"%s\">%s</td>", kind, text);
}

std::string rate_cell(const burn::window_burn& window)
{
    if (window.m_requests == 0) {
        return cell("<span class=\"soft\">&ndash;</span>");
    }
    const char* kind = "";
    if (window.m_rate >= fast_burn) {
        kind = "page";
    }
    else if (window.m_rate > 1.0) {
        kind = "ticket";
    }
    return cell(absl::StrFormat("%.2f", window.m_rate), kind);
}

std::string target_text(const burn::series_report& series, const burn::objective_report& item)
{
    const auto share = absl::StrFormat("%g%%", item.m_target * percent);
    if (item.m_objective == burn::objective::availability) {
        return share + " answered";
    }
    return share +
           absl::StrFormat(
               " within %g ms",
               std::chrono::duration<double, std::milli>(series.m_target.m_latency).count());
}

std::string table_row(const burn::series_report& series, const burn::objective_report& item)
{
    auto row = "<tr>" + cell(escape_html(series.m_key.m_selector), "name") +
               cell(escape_html(series.m_key.m_workspace_class), "name") +
               cell(escape_html(target_text(series, item)), "name");
    for (const auto& window : item.m_windows) {
        row += rate_cell(window);
    }
    const char* kind = item.m_budget_left <= 0.0 ? "page" : "";
    row += cell(absl::StrFormat("%.1f%%", item.m_budget_left * percent), kind);
    return row + cell(tag(item.m_alert)) + "</tr>";
}

std::string table(const burn::report& report)
{
    std::string text =
        "<div class=\"card scroll\"><table><tr><th class=\"name\">selector</th>"
        "<th class=\"name\">workspaces</th><th class=\"name\">target</th>";
    for (const auto& window : burn::window_shapes) {
        text += "<th>" + std::string(window.m_name) + "</th>";
    }
    text += "<th>budget left</th><th>alert</th></tr>";
    for (const auto& series : report.m_series) {
        for (const auto& item : series.m_objectives) {
            text += table_row(series, item);
        }
    }
    return text + "</table></div>";
}

std::vector<double> values_of(const std::vector<burn::plot_point>& points)
{
    std::vector<double> values;
    values.reserve(points.size());
    for (const auto& item : points) {
        values.push_back(item.m_value);
    }
    return values;
}

std::string rate_plot(const burn::objective_report& item)
{
    line_plot plot;
    plot.m_title = "Burn rate by the hour, 3 days";
    plot.m_values = values_of(item.m_rates);
    plot.m_most = least_rate_axis;
    for (const auto value : plot.m_values) {
        plot.m_most = std::max(plot.m_most, value);
    }
    plot.m_mark = 1.0;
    plot.m_mark_text = "1: spends the budget in 30 days";
    plot.m_start_text = time_text(item.m_rates.front().m_at);
    plot.m_end_text = "now";
    plot.m_least_text = "0";
    plot.m_most_text = absl::StrFormat("%.1f", plot.m_most);
    return to_svg(plot);
}

std::string budget_plot(const burn::objective_report& item)
{
    line_plot plot;
    plot.m_title = "Budget left, 30 days";
    plot.m_values = values_of(item.m_budgets);
    plot.m_least = std::min(budget_axis_least, item.m_budget_left);
    plot.m_mark_text = plot.m_least < 0.0 ? "spent" : "";
    plot.m_start_text = time_text(item.m_budgets.front().m_at);
    plot.m_end_text = "now";
    plot.m_least_text = absl::StrFormat("%.0f%%", plot.m_least * percent);
    plot.m_most_text = "100%";
    return to_svg(plot);
}

std::string card(const burn::series_report& series, const burn::objective_report& item)
{
    const auto& month = item.m_windows.back();
    return "<section class=\"card\"><h2>" + escape_html(series.m_key.m_selector) + " &middot; " +
           escape_html(series.m_key.m_workspace_class) + " &middot; " +
           burn::to_string(item.m_objective) + " " + tag(item.m_alert) +
           "</h2><div class=\"soft\">" + escape_html(target_text(series, item)) +
           absl::StrFormat("; %d of %d requests bad in 30 days", month.m_bad, month.m_requests) +
           (item.m_alert_reason.empty() ? "" : "; " + escape_html(item.m_alert_reason)) +
           "</div><div class=\"plots\">" + rate_plot(item) + budget_plot(item) + "</div></section>";
}

}  // namespace

std::string burn_page(const burn::report& report)
{
    auto content = "<h1>Service-level burn</h1><div class=\"soft\">" + time_text(report.m_at) +
                   "; entries counted: " +
                   escape_html(report.m_hosts.empty() ? "none" : names(report.m_hosts)) + "</div>";
    content += summary_banner(report) + missing_banner(report);
    if (!report.m_series.empty()) {
        content += table(report);
    }
    for (const auto& series : report.m_series) {
        for (const auto& item : series.m_objectives) {
            content += card(series, item);
        }
    }
    return html_page("Service-level burn", content);
}

}  // namespace dewbeam::operators
