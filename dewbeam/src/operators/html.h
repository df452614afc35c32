/// \file
/// Small pieces of HTML and SVG that the pages share.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace dewbeam::operators {

/// `text` with the characters that mean something to HTML replaced.
std::string escape_html(std::string_view text);

/// A whole page: the title, the shared style and the body's content.
std::string html_page(std::string_view title, const std::string& content);

/// A plot of one line. Values are drawn between `m_least` and `m_most`; those outside are clipped.
struct line_plot {
    std::string m_title;
    std::vector<double> m_values;  ///< evenly spaced
    double m_least = 0.0;
    double m_most = 1.0;
    double m_mark = 0.0;       ///< height of a dashed line, e.g. a threshold
    std::string m_mark_text;   ///< empty: no dashed line
    std::string m_start_text;  ///< under the left end
    std::string m_end_text;    ///< under the right end
    std::string m_least_text;  ///< at the lower end of the axis
    std::string m_most_text;   ///< at the upper end of the axis
};

/// The plot as an SVG element.
std::string to_svg(const line_plot& plot);

/// A plot of bars from the left to the right.
struct bar_plot {
    std::string m_title;
    std::vector<double> m_heights;
    std::string m_start_text;
    std::string m_end_text;
    std::string m_most_text;  ///< at the upper end of the axis
};

/// The plot as an SVG element.
std::string to_svg(const bar_plot& plot);

}  // namespace dewbeam::operators
