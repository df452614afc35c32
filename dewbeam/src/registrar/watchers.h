/// \file
/// The gateways and rank agents that watch a registry: their leases, the changes sent to them, and
/// their requests in flight.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/link"
#include "dewbeam/registry"
#include "dewbeam/slow_start"

namespace dewbeam::registrar {

/// A gateway or rank agent that watches.
struct watcher {
    host_id m_host;  ///< empty: not stated
    time_point m_lease_deadline{};
    std::uint64_t m_sent_change = 0;  ///< last change sent; it may not have arrived yet
    std::vector<std::pair<std::string, std::uint32_t>> m_loads;
    bool m_is_gateway = false;
    std::uint64_t m_sent_suspicion = 0;  ///< the same for suspicions
};

/// All watchers. The sums of loads are updated incrementally with each watch, since every gateway
/// requests them several times a second.
struct watcher_table {
    std::map<link::peer, watcher> m_watchers;
    std::uint32_t m_gateways = 0;                     ///< among the watchers
    std::map<host_id, link::peer> m_gateway_of_host;  ///< its newest connection
    slow_start::gateway_count m_known_gateways;       ///< counted here or by another registry
    std::map<std::string, std::uint32_t>
        m_loads;                 ///< requests in flight of all gateways, by upstream
    std::string m_packed_loads;  ///< the same, serialized for sending
    bool m_is_packed = false;    ///< `m_packed_loads` is up to date
    /// Slowdowns of slow upstreams, by the watcher that reported them.
    std::map<link::peer, std::vector<std::pair<std::string, double>>> m_slowdowns;
};

/// Applies a watch of a process on `host` and renews its lease. A gateway that started again
/// replaces the one before it, whose lease may not have expired.
watcher& apply_watch(watcher_table& table, const link::peer& from, const host_id& host,
                     const wire::Watch& watch, time_point now);

/// Removes the watchers whose lease expired.
void expire(watcher_table& table, time_point now);

/// Extends all leases by the time for which this registry read no messages.
void put_off_leases(watcher_table& table, time_span held_up, time_point now);

/// Removes a watcher whose connection is closed.
void forget(watcher_table& table, const link::peer& disconnected);

/// Writes the requests in flight of all gateways, the part of them that `self` reported, and the
/// slowdowns of slow upstreams.
void put_loads(watcher_table& table, const watcher& self, wire::WatchNews& news);

/// Writes a number of gateways and for how long it is known; nothing if there is none.
void put_known_gateways(const slow_start::gateway_count& known, time_point now,
                        wire::KnownGateways& message);

/// Takes over the number that another process knows.
void take_known_gateways(slow_start::gateway_count& known, const wire::KnownGateways& message,
                         time_point now);

/// The loads that `put_loads` wrote, without the receiving gateway's own; empty if unreadable.
std::map<std::string, std::uint32_t> loads_of_others(const wire::WatchNews& news);

/// Writes the upstreams that changed after `change`, or all if `send_all`.
void put_upstreams(const registry::table& known, std::uint64_t change, bool send_all,
                   wire::WatchNews& news);

}  // namespace dewbeam::registrar
