/// \file
/// The gateways and rank agents that watch a registry: their leases, what they were told, what they
/// have under way.
#pragma once

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/link"
#include "dewbeam/registry"

namespace dewbeam::registrar {

/// A watching gateway.
struct watcher {
    time_point m_lease_deadline{};
    std::uint64_t m_told_change = 0;  ///< sent, perhaps not yet arrived
    std::vector<std::pair<std::string, std::uint32_t>> m_loads;
    bool m_is_gateway = false;
    std::uint64_t m_told_suspicion = 0;  ///< as `m_told_change`, of suspicions
};

/// All of them. Sums are kept up to date by what each telling changes, since every gateway asks for
/// them several times a second.
struct watcher_table {
    std::map<link::peer, watcher> m_watchers;
    std::uint32_t m_gateways = 0;                  ///< among the watchers
    std::map<std::string, std::uint32_t> m_loads;  ///< by upstream: what all gateways have there
    std::string m_packed_loads;                    ///< the same, as it is sent
    bool m_is_packed = false;                      ///< `m_packed_loads` holds the sums of now
    /// Of upstreams that are slow, by the watcher that told them.
    std::map<link::peer, std::vector<std::pair<std::string, double>>> m_paces;
};

/// Takes a watch in.
watcher& note_watch(watcher_table& table, const link::peer& from, const wire::Watch& watch,
                    time_point now);

/// Forgets watchers whose lease ended.
void expire(watcher_table& table, time_point now);

/// For so long this registry read nothing of what watchers sent.
void put_off_leases(watcher_table& table, time_span held_up, time_point now);

/// Forgets one whose connection is over.
void forget(watcher_table& table, const link::peer& gone);

/// What all gateways have under way, which part of it is `self`'s, and which upstreams are slow.
void put_loads(watcher_table& table, const watcher& self, wire::WatchNews& news);

/// What `put_loads` wrote, without the asking gateway's part; nothing where it can't be read.
std::map<std::string, std::uint32_t> loads_of_others(const wire::WatchNews& news);

/// Changes of upstreams after `change`, or all of them.
void put_upstreams(const registry::table& known, std::uint64_t change, bool whole,
                   wire::WatchNews& news);

}  // namespace dewbeam::registrar
