#include "dewbeam/src/notices/notice_table.h"

#include <algorithm>
#include <utility>

namespace dewbeam::notices {

namespace {

/// Longer than an announcement can be late.
constexpr time_span leaving_retention = std::chrono::minutes(10);

}  // namespace

bool note(notice_table& table, const notice& heard, time_point now)
{
    auto& known = table.m_standings[heard.m_upstream];
    if (known.m_incarnation != heard.m_incarnation) {
        known = {heard.m_incarnation};
    }
    known.m_known_at = now;
    const auto until = std::max(known.m_backoff_until, heard.m_backoff_until);
    const bool is_extended = std::exchange(known.m_backoff_until, until) != until;
    const bool leaves = known.m_is_leaving || heard.m_is_leaving;
    const bool is_new_leave = std::exchange(known.m_is_leaving, leaves) != leaves;
    return is_extended || is_new_leave;
}

standing find(const notice_table& table, const upstream_id& upstream, incarnation of)
{
    const auto place = table.m_standings.find(upstream);
    const bool is_known = place != table.m_standings.end() && place->second.m_incarnation == of;
    return is_known ? place->second : standing{of};
}

void forget_old(notice_table& table, time_point now)
{
    std::erase_if(table.m_standings, [&](const auto& item) {
        const auto& known = item.second;
        const bool leaves = known.m_is_leaving && known.m_known_at + leaving_retention > now;
        return !leaves && known.m_backoff_until <= now;
    });
}

}  // namespace dewbeam::notices
