#include "dewbeam/src/load/results.h"

#include <absl/strings/str_format.h>

#include <algorithm>

#include "dewbeam/src/operators/html.h"

namespace dewbeam::load {

namespace {

using json = nlohmann::json;

constexpr unsigned latency_buckets = 120;
constexpr double least_latency_ms = 0.1;
constexpr double most_latency_ms = 600'000.0;
constexpr std::array<double, 4> shown_quantiles{0.5, 0.9, 0.99, 0.999};
constexpr std::array<ending, ending_count> all_endings{
    ending::answered, ending::wrong, ending::refused, ending::failed, ending::timed_out};

std::size_t index_of(ending value)
{
    return static_cast<std::size_t>(value);
}

std::uint64_t total(const latency_histogram& latencies)
{
    double sum = 0.0;
    for (auto&& cell : boost::histogram::indexed(latencies, boost::histogram::coverage::all)) {
        sum += static_cast<double>(*cell);
    }
    return static_cast<std::uint64_t>(sum);
}

json quantiles_to_json(const latency_histogram& latencies)
{
    json result{{"count", total(latencies)}};
    for (const auto part : shown_quantiles) {
        result[absl::StrFormat("p%g_ms", part * 100.0)] = quantile(latencies, part);
    }
    json buckets = json::array();
    for (auto&& cell : boost::histogram::indexed(latencies)) {
        if (*cell > 0) {
            buckets.push_back({cell.bin().lower(), cell.bin().upper(), static_cast<double>(*cell)});
        }
    }
    result["buckets_ms"] = buckets;
    return result;
}

/// The buckets from the first to the last that is not empty.
operators::bar_plot plot_of(const char* title, const latency_histogram& latencies)
{
    operators::bar_plot plot;
    plot.m_title = title;
    double most = 0.0;
    std::size_t kept = 0;
    for (auto&& cell : boost::histogram::indexed(latencies)) {
        const auto height = static_cast<double>(*cell);
        if (height == 0.0 && plot.m_heights.empty()) {
            continue;
        }
        if (plot.m_heights.empty()) {
            plot.m_start_text = absl::StrFormat("%.3g ms", cell.bin().lower());
        }
        plot.m_heights.push_back(height);
        if (height > 0.0) {
            kept = plot.m_heights.size();
            plot.m_end_text = absl::StrFormat("%.3g ms", cell.bin().upper());
        }
        most = std::max(most, height);
    }
    plot.m_heights.resize(kept);
    plot.m_most_text = absl::StrFormat("%g", most);
    return plot;
}

std::string table_row(const work_results& item)
{
    auto row = "<tr><td class=\"name\">" + operators::escape_html(item.m_name) + "</td>";
    for (const auto kind : all_endings) {
        const auto number = item.m_endings[index_of(kind)];
        const bool is_bad = kind == ending::wrong && number > 0;
        absl::StrAppendFormat(&row, "<td class=\"%s\">%d</td>", is_bad ? "page" : "", number);
    }
    absl::StrAppendFormat(&row, "<td>%d</td>", item.m_resends);
    for (const auto part : shown_quantiles) {
        absl::StrAppendFormat(&row, "<td>%.1f</td>", quantile(item.m_whole, part));
    }
    return row + "</tr>";
}

std::string table(const results& found)
{
    std::string text = "<div class=\"card scroll\"><table><tr><th class=\"name\">work</th>";
    for (const auto kind : all_endings) {
        text += std::string("<th>") + to_string(kind) + "</th>";
    }
    text += "<th>resends</th>";
    for (const auto part : shown_quantiles) {
        absl::StrAppendFormat(&text, "<th>p%g ms</th>", part * 100.0);
    }
    text += "</tr>";
    for (const auto& item : found.m_work) {
        text += table_row(item);
    }
    return text + "</table></div>";
}

std::string wrong_list(const results& found)
{
    std::string text;
    for (const auto& item : found.m_wrong) {
        text += "<div>" + operators::escape_html(item.m_work + ": " + item.m_marker) + ": " +
                to_string(item.m_verdict) + "</div>";
    }
    return text.empty() ? text : "<div class=\"card\"><h2>Wrong answers</h2>" + text + "</div>";
}

}  // namespace

latency_histogram make_latency_histogram()
{
    return boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(
            latency_buckets, least_latency_ms, most_latency_ms));
}

double quantile(const latency_histogram& latencies, double part)
{
    const auto wanted = static_cast<double>(total(latencies)) * part;
    double seen = 0.0;
    for (auto&& cell : boost::histogram::indexed(latencies, boost::histogram::coverage::all)) {
        const auto height = static_cast<double>(*cell);
        if (height > 0.0 && seen + height >= wanted) {
            const auto& bin = cell.bin();
            const auto lower = std::max(bin.lower(), 0.0);
            const auto upper = std::min(bin.upper(), most_latency_ms);
            return lower + (upper - lower) * (wanted - seen) / height;
        }
        seen += height;
    }
    return 0.0;
}

results make_results(const experiment& wanted)
{
    results found;
    for (const auto& item : wanted.m_work) {
        found.m_work.emplace_back().m_name = item.m_name;
    }
    return found;
}

void add(results& found, const request_end& end)
{
    auto& item = found.m_work[end.m_work];
    ++item.m_endings[index_of(end.m_ending)];
    item.m_resends += end.m_resends;
    if (end.m_ending == ending::answered) {
        item.m_first_byte(to_milliseconds(end.m_first_byte));
        item.m_whole(to_milliseconds(end.m_whole));
    }
    if (end.m_ending == ending::wrong && found.m_wrong.size() < most_listed_wrong) {
        found.m_wrong.push_back({end.m_marker, item.m_name, end.m_verdict});
    }
}

std::uint64_t count(const results& found, ending kind)
{
    std::uint64_t sum = 0;
    for (const auto& item : found.m_work) {
        sum += item.m_endings[index_of(kind)];
    }
    return sum;
}

const char* to_string(ending value)
{
    switch (value) {
        case ending::answered:
            return "answered";
        case ending::wrong:
            return "wrong";
        case ending::refused:
            return "refused";
        case ending::failed:
            return "failed";
        case ending::timed_out:
            break;
    }
    return "timed_out";
}

json to_json(const results& found)
{
    json all = json::array();
    for (const auto& item : found.m_work) {
        json one{{"name", item.m_name},
                 {"resends", item.m_resends},
                 {"first_byte", quantiles_to_json(item.m_first_byte)},
                 {"whole", quantiles_to_json(item.m_whole)}};
        for (const auto kind : all_endings) {
            one[to_string(kind)] = item.m_endings[index_of(kind)];
        }
        all.push_back(std::move(one));
    }
    json wrong = json::array();
    for (const auto& item : found.m_wrong) {
        wrong.push_back({{"marker", item.m_marker},
                         {"work", item.m_work},
                         {"verdict", to_string(item.m_verdict)}});
    }
    return {
        {"work", all}, {"wrong", wrong}, {"latest_send_ms", to_milliseconds(found.m_latest_send)}};
}

std::string to_html(const results& found)
{
    std::string content = "<h1>Load run</h1>";
    const auto wrong = count(found, ending::wrong);
    content += wrong == 0
                   ? "<div class=\"banner none\">Every answer was its caller's own, whole, "
                     "once.</div>"
                   : absl::StrFormat("<div class=\"banner page\">%d wrong answers.</div>", wrong);
    content += table(found) + wrong_list(found);
    for (const auto& item : found.m_work) {
        content += "<section class=\"card\"><h2>" + operators::escape_html(item.m_name) +
                   "</h2><div class=\"plots\">" +
                   operators::to_svg(plot_of("Time to the first byte", item.m_first_byte)) +
                   operators::to_svg(plot_of("Time to the whole answer", item.m_whole)) +
                   "</div></section>";
    }
    return operators::html_page("Load run", content);
}

}  // namespace dewbeam::load
