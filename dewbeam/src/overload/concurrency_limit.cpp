#include "dewbeam/src/overload/concurrency_limit.h"

#include <algorithm>

#include "dewbeam/src/overload/pause.h"

namespace dewbeam::overload {

namespace {

constexpr time_span window = std::chrono::milliseconds(250);
/// A window lasts until it has this many pauses; fewer say nothing.
constexpr std::uint32_t min_pauses = 10;
/// A pause is long from this share of the objective on. A stream has tens of pauses, and one beyond
/// the objective makes it late, so that the limit must react before.
constexpr double long_share = 0.95;
/// Shares of long pauses above which the limit falls, and below which it rises.
constexpr double falls_above = 0.05;
constexpr double rises_below = 0.02;
constexpr double fall_factor = 0.95;
constexpr double rise_step = 0.05;
/// With fewer streams, an engine gives up more throughput than its pauses get shorter.
constexpr double least_share = 0.5;

}  // namespace

void note_pause(concurrency_limit& limit, time_span pause, time_span objective, time_point now)
{
    if (!shows_load(pause, objective)) {
        return;
    }
    ++limit.m_pauses;
    limit.m_long += to_seconds(pause) > to_seconds(objective) * long_share ? 1 : 0;
    if (now < limit.m_window_start + window || limit.m_pauses < min_pauses) {
        return;
    }
    const double share = static_cast<double>(limit.m_long) / limit.m_pauses;
    if (share > falls_above) {
        limit.m_share = std::max(limit.m_share * fall_factor, least_share);
    }
    else if (share < rises_below) {
        limit.m_share = std::min(limit.m_share + rise_step, 1.0);
    }
    limit.m_window_start = now;
    limit.m_pauses = 0;
    limit.m_long = 0;
}

double share_of_slots(const concurrency_limit& limit)
{
    return limit.m_share;
}

}  // namespace dewbeam::overload
