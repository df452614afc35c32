#include "dewbeam/src/http/retry_after.h"

#include <absl/strings/numbers.h>
#include <absl/strings/strip.h>
#include <absl/time/time.h>

#include <algorithm>
#include <string_view>

namespace dewbeam::http {

namespace {

absl::string_view to_absl(std::string_view text)
{
    return absl::StripAsciiWhitespace(absl::string_view(text.data(), text.size()));
}

time_span to_span(double seconds)
{
    const double bounded = std::min(seconds, to_seconds(max_retry_after));
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(bounded));
}

/// Digits with optional decimals: no sign, no exponent.
std::optional<double> read_seconds(absl::string_view text)
{
    const bool is_plain = !text.empty() && text.front() != '.' &&
                          text.find_first_not_of("0123456789.") == absl::string_view::npos;
    double value = 0.0;
    if (!is_plain || !absl::SimpleAtod(text, &value)) {
        return std::nullopt;
    }
    return value;
}

std::optional<absl::Time> read_date(absl::string_view text)
{
    absl::Time result;
    std::string ignored;
    if (!absl::ParseTime("%a, %d %b %Y %H:%M:%S GMT", text, &result, &ignored)) {
        return std::nullopt;
    }
    return result;
}

}  // namespace

std::optional<retry_after> read_retry_after(const fields& head)
{
    const auto place = std::find_if(head.begin(), head.end(), [](const field& item) {
        return is_same_name(item.m_name, "Retry-After");
    });
    if (place == head.end()) {
        return std::nullopt;
    }
    const auto text = to_absl(place->m_value);
    if (const auto seconds = read_seconds(text)) {
        return retry_after{to_span(*seconds)};
    }
    const auto until = read_date(text);
    const auto sent_at = read_date(to_absl(find_field(head, "Date")));
    if (!until || !sent_at) {
        return retry_after{};
    }
    return retry_after{to_span(std::max(0.0, absl::ToDoubleSeconds(*until - *sent_at)))};
}

}  // namespace dewbeam::http
