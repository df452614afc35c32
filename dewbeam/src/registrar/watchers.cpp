#include "dewbeam/src/registrar/watchers.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "dewbeam/retry"
#include "dewbeam/src/registrar/announcement_wire.h"
#include "dewbeam/turns"

namespace dewbeam::registrar {

namespace {

/// Three watch intervals of the slowest follower, so that one lost watch doesn't expire a lease.
constexpr time_span lease = std::chrono::milliseconds(3500);

void subtract_loads(watcher_table& table, const watcher& subject)
{
    for (const auto& [upstream, count] : subject.m_loads) {
        const auto place = table.m_loads.find(upstream);
        place->second -= count;
        if (place->second == 0) {
            table.m_loads.erase(place);
        }
    }
    table.m_is_packed = table.m_is_packed && subject.m_loads.empty();
}

/// If a message names an upstream several times, its last non-zero load counts.
void update_loads(watcher_table& table, watcher& subject, const wire::Watch& watch)
{
    std::map<std::string, std::uint32_t> reported;
    for (const auto& item : watch.loads()) {
        if (item.in_flight() > 0) {
            reported[item.upstream()] = item.in_flight();
        }
    }
    subject.m_loads.assign(reported.begin(), reported.end());
    for (const auto& [upstream, count] : subject.m_loads) {
        table.m_loads[upstream] += count;
    }
    table.m_is_packed = table.m_is_packed && subject.m_loads.empty();
}

void update_slowdowns(watcher_table& table, const link::peer& from, const wire::Watch& watch)
{
    if (watch.paces().empty()) {
        table.m_slowdowns.erase(from);
        return;
    }
    auto& reported = table.m_slowdowns[from];
    reported.clear();
    for (const auto& item : watch.paces()) {
        reported.emplace_back(item.upstream(), item.pace());
    }
}

using watcher_place = std::map<link::peer, watcher>::iterator;

watcher_place erase(watcher_table& table, watcher_place place)
{
    subtract_loads(table, place->second);
    table.m_slowdowns.erase(place->first);
    table.m_gateways -= place->second.m_is_gateway ? 1 : 0;
    const auto newest = table.m_gateway_of_host.find(place->second.m_host);
    if (newest != table.m_gateway_of_host.end() && newest->second == place->first) {
        table.m_gateway_of_host.erase(newest);
    }
    return table.m_watchers.erase(place);
}

void pack_loads(watcher_table& table)
{
    if (std::exchange(table.m_is_packed, true)) {
        return;
    }
    wire::LoadList list;
    for (const auto& [upstream, count] : table.m_loads) {
        auto& load = *list.add_loads();
        load.set_upstream(upstream);
        load.set_in_flight(count);
    }
    table.m_packed_loads = list.SerializeAsString();
}

/// Makes `from` the one gateway of its host.
void replace_gateway(watcher_table& table, const link::peer& from, const host_id& host)
{
    if (host.value().empty()) {
        return;
    }
    const auto [newest, is_new] = table.m_gateway_of_host.try_emplace(host, from);
    if (is_new || newest->second == from) {
        return;
    }
    const auto earlier = table.m_watchers.find(std::exchange(newest->second, from));
    if (earlier != table.m_watchers.end()) {
        erase(table, earlier);
    }
}

}  // namespace

watcher& apply_watch(watcher_table& table, const link::peer& from, const host_id& host,
                     const wire::Watch& watch, time_point now)
{
    if (watch.is_gateway()) {
        replace_gateway(table, from, host);
    }
    auto& subject = table.m_watchers[from];
    subject.m_host = host;
    subtract_loads(table, subject);
    table.m_gateways -= subject.m_is_gateway ? 1 : 0;
    subject.m_lease_deadline = now + lease;
    subject.m_is_gateway = watch.is_gateway();
    table.m_gateways += subject.m_is_gateway ? 1 : 0;
    update_loads(table, subject, watch);
    update_slowdowns(table, from, watch);
    if (watch.is_gateway()) {
        slow_start::note_count(table.m_known_gateways, table.m_gateways, now,
                               retry::count_retention);
        take_known_gateways(table.m_known_gateways, watch.known_gateways(), now);
    }
    return subject;
}

void expire(watcher_table& table, time_point now)
{
    for (auto place = table.m_watchers.begin(); place != table.m_watchers.end();) {
        place = place->second.m_lease_deadline <= now ? erase(table, place) : std::next(place);
    }
}

void put_off_leases(watcher_table& table, time_span held_up, time_point now)
{
    for (auto& [peer, subject] : table.m_watchers) {
        subject.m_lease_deadline = put_off(subject.m_lease_deadline, held_up, now + lease);
    }
}

void forget(watcher_table& table, const link::peer& disconnected)
{
    const auto place = table.m_watchers.find(disconnected);
    if (place != table.m_watchers.end()) {
        erase(table, place);
    }
}

void put_loads(watcher_table& table, const watcher& self, wire::WatchNews& news)
{
    pack_loads(table);
    news.set_has_loads(true);
    news.set_packed_loads(table.m_packed_loads);
    for (const auto& [upstream, count] : self.m_loads) {
        auto& load = *news.add_own_loads();
        load.set_upstream(upstream);
        load.set_in_flight(count);
    }
    for (const auto& [watcher, slowdowns] : table.m_slowdowns) {
        for (const auto& [upstream, slowdown] : slowdowns) {
            auto& item = *news.add_paces();
            item.set_upstream(upstream);
            item.set_pace(slowdown);
        }
    }
}

void put_known_gateways(const slow_start::gateway_count& known, time_point now,
                        wire::KnownGateways& message)
{
    using std::chrono::milliseconds;
    const auto valid = std::chrono::duration_cast<milliseconds>(slow_start::validity(known, now));
    message.set_count(known.m_highest);
    message.set_valid_ms(static_cast<std::uint64_t>(valid.count()));
}

void take_known_gateways(slow_start::gateway_count& known, const wire::KnownGateways& message,
                         time_point now)
{
    const auto longest =
        std::chrono::duration_cast<std::chrono::milliseconds>(time_span(retry::count_retention));
    const auto valid = std::min(message.valid_ms(), static_cast<std::uint64_t>(longest.count()));
    slow_start::merge_count(known, message.count(), std::chrono::milliseconds(valid), now);
}

std::map<std::string, std::uint32_t> loads_of_others(const wire::WatchNews& news)
{
    std::map<std::string, std::uint32_t> result;
    wire::LoadList sums;
    if (!sums.ParseFromString(news.packed_loads())) {
        log_event(log_level::warning, "loads_not_read", {{"bytes", news.packed_loads().size()}});
        return result;
    }
    for (const auto& item : sums.loads()) {
        result[item.upstream()] = item.in_flight();
    }
    for (const auto& item : news.own_loads()) {
        const auto place = result.find(item.upstream());
        if (place != result.end()) {
            place->second -= std::min(place->second, item.in_flight());
        }
    }
    return result;
}

void put_upstreams(const registry::table& known, std::uint64_t change, bool send_all,
                   wire::WatchNews& news)
{
    for (const auto* item : registry::changes_since(known, send_all ? 0 : change)) {
        to_wire(*item, *news.add_upstreams());
    }
    news.set_whole(send_all);
    news.set_change(known.m_last_change);
}

}  // namespace dewbeam::registrar
