#include "dewbeam/src/permits/rate_limit.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::permits {

namespace {

/// A limited upstream that receives requests repeats its limit within seconds.
constexpr time_span retention = std::chrono::seconds(60);
/// Exceeds the delay of answers sent before the limit ended, so that they don't restore it.
constexpr time_span ended_retention = std::chrono::seconds(10);
constexpr double least_rate = 0.2;  // requests a second

bool is_rate(const std::optional<double>& value)
{
    return !value || (std::isfinite(*value) && *value >= 0.0);
}

}  // namespace

bool note_limit(limit_table& table, const rate_limit& heard)
{
    if (!is_rate(heard.m_per_second)) {
        return false;
    }
    const auto place = table.m_limits.find(heard.m_upstream);
    if (place == table.m_limits.end()) {
        if (!heard.m_per_second) {
            return false;
        }
        table.m_limits.emplace(heard.m_upstream, heard);
        return true;
    }
    auto& known = place->second;
    if (heard.m_heard_at <= known.m_heard_at) {
        return false;
    }
    const bool is_changed =
        known.m_per_second != heard.m_per_second || known.m_incarnation != heard.m_incarnation;
    known = heard;
    return is_changed;
}

void forget_old(limit_table& table, time_point now)
{
    std::erase_if(table.m_limits, [&](const auto& item) {
        const auto& limit = item.second;
        return limit.m_heard_at + (limit.m_per_second ? retention : ended_retention) <= now;
    });
}

double usable_rate(double per_second)
{
    return std::max(per_second, least_rate);
}

}  // namespace dewbeam::permits
