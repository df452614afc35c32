#include "dewbeam/src/registrar/limit_wire.h"

#include <algorithm>

namespace dewbeam::registrar {

namespace {

/// Caps received ages so that the subtraction can't overflow. Exceeds any limit's retention.
constexpr std::uint64_t max_age_us = 3'600'000'000;

}  // namespace

void to_wire(const permits::rate_limit& limit, time_point now, wire::UpstreamLimit& to)
{
    const auto age = std::chrono::duration_cast<std::chrono::microseconds>(now - limit.m_heard_at);
    to.set_upstream(limit.m_upstream.value());
    to.set_incarnation(limit.m_incarnation.value());
    to.set_has_ended(!limit.m_per_second.has_value());
    to.set_per_second(limit.m_per_second.value_or(0.0));
    to.set_age_us(static_cast<std::uint64_t>(std::max<std::int64_t>(0, age.count())));
}

permits::rate_limit from_wire(const wire::UpstreamLimit& from, time_point now)
{
    const auto age = std::min(from.age_us(), max_age_us);
    permits::rate_limit result;
    result.m_upstream = upstream_id(from.upstream());
    result.m_incarnation = incarnation(from.incarnation());
    if (!from.has_ended()) {
        result.m_per_second = from.per_second();
    }
    result.m_heard_at = now - std::chrono::microseconds(age);
    return result;
}

std::vector<permits::rate_limit> take_watch(permits::issuer& state,
                                            const permits::holder_id& holder,
                                            const wire::Watch& watch, time_point now)
{
    std::vector<permits::rate_limit> changed;
    for (const auto& item : watch.limits()) {
        const auto limit = from_wire(item, now);
        if (permits::note_limit(state.m_limits, limit)) {
            changed.push_back(limit);
        }
    }
    for (const auto& item : watch.wanted_permits()) {
        permits::set_demand(state, holder, {upstream_id(item.upstream()), item.count()}, now);
    }
    return changed;
}

void put_limits(const permits::issuer& state, time_point now, wire::WatchNews& news)
{
    for (const auto& [upstream, limit] : state.m_limits.m_limits) {
        to_wire(limit, now, *news.add_limits());
    }
}

}  // namespace dewbeam::registrar
