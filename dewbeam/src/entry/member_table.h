/// \file
/// The agents that an entry may dispatch to, with their latest reported load.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam/membership"

namespace dewbeam::entry {

/// All agents that membership does not consider dead. Thread-safe.
class member_table {
public:
    /// Whether `fresh` is a later process of a known host.
    [[nodiscard]] bool is_new_process(const membership::member& fresh) const;

    /// Adds or updates an agent. The load of a known process is kept.
    void update_member(const membership::member& fresh);

    /// Removes a dead agent. Returns false if it is unknown or a later incarnation is known.
    bool remove(const membership::member& dead);

    /// Stores a load report, which also shows that the agent can be reached from here.
    void take_load(const host_id& host, const membership::member_load& load);

    /// Marks the agents at `address`, to which the link was lost, as unreachable until their next
    /// load report or a new process. Returns their hosts.
    std::vector<host_id> set_unreachable(const std::string& address);

    /// An agent as the pools should see it, or nothing if it is unknown.
    [[nodiscard]] std::optional<membership::member> find(const host_id& host) const;

    /// The link address of an upstream's agent; empty if it is unknown.
    [[nodiscard]] std::string address_of(const upstream_id& upstream) const;

    [[nodiscard]] std::vector<membership::member> all() const;
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        membership::member m_member;
        bool m_is_unreachable = false;
    };

    static membership::member effective_member(const entry& item);

    mutable std::mutex m_mutex;
    std::map<host_id, entry> m_members;
    std::map<upstream_id, std::string> m_addresses;
};

}  // namespace dewbeam::entry
