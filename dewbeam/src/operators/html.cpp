#include "dewbeam/src/operators/html.h"

#include <absl/strings/str_format.h>

#include <algorithm>

namespace dewbeam::operators {

namespace {

constexpr double plot_left = 44.0;
constexpr double plot_right = 508.0;
constexpr double plot_top = 26.0;
constexpr double plot_bottom = 128.0;
constexpr double text_gap = 6.0;
constexpr double label_line = 144.0;
constexpr double least_range = 1e-9;

constexpr const char* style = R"(
:root{--ink:#1c2430;--soft:#66707f;--line:#dfe4ea;--page:#f5f7f9;--card:#fff;--plot:#2a6fb0;
--fill:#2a6fb022;--good:#22794c;--good-bg:#e2f4ea;--warn:#8a5a00;--warn-bg:#fdf0d2;--bad:#b3261e;
--bad-bg:#fce4e2}
@media(prefers-color-scheme:dark){:root{--ink:#e6eaf0;--soft:#98a3b3;--line:#2e3744;--page:#12161c;
--card:#1a2029;--plot:#6db1ee;--fill:#6db1ee22;--good:#7bd3a2;--good-bg:#173526;--warn:#f0c267;
--warn-bg:#3a2d10;--bad:#ff9b93;--bad-bg:#43201d}}
*{box-sizing:border-box}
body{margin:0;background:var(--page);color:var(--ink);font:15px/1.5 system-ui,sans-serif}
main{max-width:1160px;margin:0 auto;padding:32px 20px 64px}
h1{font-size:26px;margin:0}h2{font-size:17px;margin:0 0 4px}
.soft{color:var(--soft)}.card{background:var(--card);border:1px solid var(--line);
border-radius:10px;padding:18px 20px;margin-top:18px}
.banner{border-radius:10px;padding:12px 18px;margin-top:18px;font-weight:600}
.none{background:var(--good-bg);color:var(--good)}.ticket{background:var(--warn-bg);
color:var(--warn)}.page{background:var(--bad-bg);color:var(--bad)}
.tag{border-radius:99px;padding:1px 10px;font-size:13px;font-weight:600;white-space:nowrap}
.scroll{overflow-x:auto}table{border-collapse:collapse;width:100%;font-variant-numeric:tabular-nums}
th{font-size:12px;text-align:right;color:var(--soft);font-weight:600;padding:6px 10px}
td{border-top:1px solid var(--line);padding:7px 10px;text-align:right}
th.name,td.name{text-align:left}
.plots{display:grid;grid-template-columns:repeat(auto-fit,minmax(320px,1fr));gap:18px;
margin-top:10px}
svg{width:100%;height:auto;display:block}svg text{font:11px system-ui,sans-serif;fill:var(--soft)}
svg .title{font-size:12px;font-weight:600;fill:var(--ink)}
.axis{stroke:var(--line)}.mark{stroke:var(--bad);stroke-dasharray:4 4}
.curve{fill:none;stroke:var(--plot);stroke-width:2;stroke-linejoin:round}
.area{fill:var(--fill)}.bar{fill:var(--plot)}
)";

/// Height on the page of a value between `least` and `most`.
double height_of(double value, double least, double most)
{
    const auto range = std::max(most - least, least_range);
    const auto share = (std::clamp(value, least, most) - least) / range;
    return plot_bottom - share * (plot_bottom - plot_top);
}

double place_of(std::size_t index, std::size_t count)
{
    const auto steps = static_cast<double>(std::max<std::size_t>(count, 2) - 1);
    return plot_left + (plot_right - plot_left) * static_cast<double>(index) / steps;
}

std::string svg_text(double x, double y, const char* anchor, const std::string& text)
{
    return absl::StrFormat("<text x=\"%.1f\" y=\"%.1f\" text-anchor=\"%s\">%s</text>", x, y, anchor,
                           escape_html(text));
}

std::string svg_line(double y, const char* kind)
{
    return absl::StrFormat("<line class=\"%s\" x1=\"%.1f\" x2=\"%.1f\" y1=\"%.1f\" y2=\"%.1f\"/>",
                           kind, plot_left, plot_right, y, y);
}

/// The title, both axis lines and the texts under the axis.
std::string svg_frame(const std::string& title, const std::string& start, const std::string& end)
{
    return "<svg viewBox=\"0 0 520 150\" role=\"img\" aria-label=\"" + escape_html(title) +
           "\"><text class=\"title\" x=\"0\" y=\"14\">" + escape_html(title) + "</text>" +
           svg_line(plot_top, "axis") + svg_line(plot_bottom, "axis") +
           svg_text(plot_left, label_line, "start", start) +
           svg_text(plot_right, label_line, "end", end);
}

std::string points_of(const line_plot& plot)
{
    std::string points;
    for (std::size_t i = 0; i < plot.m_values.size(); ++i) {
        absl::StrAppendFormat(&points, "%.1f,%.1f ", place_of(i, plot.m_values.size()),
                              height_of(plot.m_values[i], plot.m_least, plot.m_most));
    }
    return points;
}

}  // namespace

std::string escape_html(std::string_view text)
{
    std::string result;
    for (const char c : text) {
        switch (c) {
            case '&':
                result += "&amp;";
                break;
            case '<':
                result += "&lt;";
                break;
            case '>':
                result += "&gt;";
                break;
            case '"':
                result += "&quot;";
                break;
            default:
                result += c;
        }
    }
    return result;
}

std::string html_page(std::string_view title, const std::string& content)
{
    return "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<meta name=\"viewport\" content=\"width=device-width,initial-scale=1\"><title>" +
           escape_html(title) + "</title><style>" + style + "</style></head><body><main>" +
           content + "</main></body></html>\n";
}

std::string to_svg(const line_plot& plot)
{
    auto svg = svg_frame(plot.m_title, plot.m_start_text, plot.m_end_text);
    svg += svg_text(plot_left - text_gap, plot_top + 4.0, "end", plot.m_most_text);
    svg += svg_text(plot_left - text_gap, plot_bottom, "end", plot.m_least_text);
    const auto points = points_of(plot);
    svg += absl::StrFormat("<polygon class=\"area\" points=\"%.1f,%.1f %s%.1f,%.1f\"/>", plot_left,
                           plot_bottom, points, plot_right, plot_bottom);
    svg += "<polyline class=\"curve\" points=\"" + points + "\"/>";
    if (!plot.m_mark_text.empty()) {
        const auto y = height_of(plot.m_mark, plot.m_least, plot.m_most);
        svg += svg_line(y, "mark") + svg_text(plot_right, y - 4.0, "end", plot.m_mark_text);
    }
    return svg + "</svg>";
}

std::string to_svg(const bar_plot& plot)
{
    auto svg = svg_frame(plot.m_title, plot.m_start_text, plot.m_end_text);
    svg += svg_text(plot_left - text_gap, plot_top + 4.0, "end", plot.m_most_text);
    svg += svg_text(plot_left - text_gap, plot_bottom, "end", "0");
    double most = least_range;
    for (const auto height : plot.m_heights) {
        most = std::max(most, height);
    }
    const auto count = static_cast<double>(std::max<std::size_t>(plot.m_heights.size(), 1));
    const auto width = (plot_right - plot_left) / count;
    for (std::size_t i = 0; i < plot.m_heights.size(); ++i) {
        const auto y = height_of(plot.m_heights[i], 0.0, most);
        absl::StrAppendFormat(
            &svg, "<rect class=\"bar\" x=\"%.1f\" y=\"%.1f\" width=\"%.1f\" height=\"%.1f\"/>",
            plot_left + width * static_cast<double>(i), y, std::max(width - 1.0, 0.5),
            plot_bottom - y);
    }
    return svg + "</svg>";
}

}  // namespace dewbeam::operators
