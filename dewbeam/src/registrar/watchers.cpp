#include "dewbeam/src/registrar/watchers.h"

#include <algorithm>

#include "dewbeam/src/registrar/announcement_wire.h"

namespace dewbeam::registrar {

namespace {

/// Three watches of the slowest follower: one lost watch ends no lease.
constexpr time_span lease = std::chrono::milliseconds(3500);

}  // namespace

watcher& note_watch(watcher_table& table, const link::peer& from, const wire::Watch& watch,
                    time_point now)
{
    auto& subject = table[from];
    subject.m_lease_deadline = now + lease;
    subject.m_is_gateway = watch.is_gateway();
    subject.m_loads.clear();
    subject.m_paces.clear();
    for (const auto& item : watch.paces()) {
        subject.m_paces[item.upstream()] = item.pace();
    }
    for (const auto& load : watch.loads()) {
        if (load.in_flight() > 0) {
            subject.m_loads[load.upstream()] = load.in_flight();
        }
    }
    return subject;
}

std::uint32_t count_gateways(const watcher_table& table)
{
    return static_cast<std::uint32_t>(std::count_if(
        table.begin(), table.end(), [](const auto& item) { return item.second.m_is_gateway; }));
}

void expire(watcher_table& table, time_point now)
{
    std::erase_if(table, [now](const auto& item) { return item.second.m_lease_deadline <= now; });
}

void put_loads(const watcher_table& table, const link::peer& self, wire::WatchNews& news)
{
    std::map<std::string, std::uint32_t> sums;
    for (const auto& [peer, subject] : table) {
        for (const auto& [upstream, pace] : subject.m_paces) {
            auto& item = *news.add_paces();
            item.set_upstream(upstream);
            item.set_pace(pace);
        }
        if (peer == self) {
            continue;
        }
        for (const auto& [upstream, count] : subject.m_loads) {
            sums[upstream] += count;
        }
    }
    news.set_has_loads(true);
    for (const auto& [upstream, count] : sums) {
        auto& load = *news.add_loads();
        load.set_upstream(upstream);
        load.set_in_flight(count);
    }
}

void put_upstreams(const registry::table& known, std::uint64_t change, bool whole,
                   wire::WatchNews& news)
{
    for (const auto* item : registry::changes_since(known, whole ? 0 : change)) {
        to_wire(*item, *news.add_upstreams());
    }
    news.set_whole(whole);
    news.set_change(known.m_last_change);
}

}  // namespace dewbeam::registrar
