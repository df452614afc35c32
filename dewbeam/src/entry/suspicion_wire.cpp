#include "dewbeam/src/entry/suspicion_wire.h"

#include <algorithm>

namespace dewbeam::entry {

namespace {

std::int64_t to_wall(time_point at, time_point now, time_point wall_now)
{
    return (wall_now.time_since_epoch() - (now - at)).count();
}

time_point from_wall(std::int64_t at, time_point now, time_point wall_now)
{
    constexpr std::int64_t latest = std::int64_t{1} << 62U;  // sums with it stay in range
    const time_span kept(std::clamp<std::int64_t>(at, 0, latest));
    return now - (wall_now.time_since_epoch() - kept);
}

}  // namespace

void to_wire(const pool_suspicion& source, time_point now, time_point wall_now,
             wire::Suspicion& out)
{
    const auto& record = source.m_record;
    out.set_pool(source.m_pool);
    out.set_fingerprint(record.m_content.value());
    for (const auto& item : record.m_crash_reports) {
        auto& crash_report = *out.add_deaths();
        crash_report.set_upstream(item.m_upstream.value());
        crash_report.set_incarnation(item.m_incarnation.value());
        crash_report.set_at_unix_us(to_wall(item.m_at, now, wall_now));
        crash_report.set_alone(item.m_alone);
    }
    const bool has_cleared = record.m_cleared_at != time_point::min();
    out.set_has_cleared(has_cleared);
    if (has_cleared) {
        out.set_cleared_at_unix_us(to_wall(record.m_cleared_at, now, wall_now));
    }
}

quarantine::suspicion from_wire(const wire::Suspicion& source, time_point now, time_point wall_now)
{
    quarantine::suspicion record;
    record.m_content = fingerprint(source.fingerprint());
    for (const auto& item : source.deaths()) {
        record.m_crash_reports.push_back(
            {upstream_id(item.upstream()), incarnation(item.incarnation()),
             from_wall(item.at_unix_us(), now, wall_now), item.alone()});
    }
    if (source.has_cleared()) {
        record.m_cleared_at = from_wall(source.cleared_at_unix_us(), now, wall_now);
    }
    return record;
}

}  // namespace dewbeam::entry
