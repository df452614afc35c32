/// \file
/// The gateways and rank agents that watch a registry: their leases, what they were told, what they
/// have under way.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/link"
#include "dewbeam/registry"

namespace dewbeam::registrar {

/// A watching gateway.
struct watcher {
    time_point m_lease_deadline{};
    std::uint64_t m_told_change = 0;  ///< sent, perhaps not yet arrived
    std::map<std::string, std::uint32_t> m_loads;
    std::map<std::string, double> m_paces;
    bool m_is_gateway = false;
};

/// All of them.
using watcher_table = std::map<link::peer, watcher>;

/// Takes a watch in.
watcher& note_watch(watcher_table& table, const link::peer& from, const wire::Watch& watch,
                    time_point now);

/// Gateways among the watchers.
std::uint32_t count_gateways(const watcher_table& table);

/// Forgets gateways whose lease ended.
void expire(watcher_table& table, time_point now);

/// What all gateways but `self` have under way, and which upstreams are slow.
void put_loads(const watcher_table& table, const link::peer& self, wire::WatchNews& news);

/// Changes of upstreams after `change`, or all of them.
void put_upstreams(const registry::table& known, std::uint64_t change, bool whole,
                   wire::WatchNews& news);

}  // namespace dewbeam::registrar
