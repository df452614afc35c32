/// \file
/// The agents that an entry may dispatch to, with their newest load.
#pragma once

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam/membership"

namespace dewbeam::entry {

/// All agents that are not held dead. Thread-safe.
class member_table {
public:
    /// Whether `fresh` is a later process of a host that is known.
    [[nodiscard]] bool is_new_process(const membership::member& fresh) const;

    /// Takes what membership learned of an agent.
    void take(const membership::member& fresh);

    /// Forgets an agent that is held dead; false where a later incarnation is known.
    bool remove(const membership::member& dead);

    /// Takes a load report, which shows that the agent can be reached from here.
    void take_load(const host_id& host, const membership::member_load& load);

    /// The link to an agent went silent: nothing goes there until it is heard of again. Gives
    /// those that listen at `address`.
    std::vector<host_id> set_unreachable(const std::string& address);

    /// An agent as the pools should see it; nothing where it isn't known.
    [[nodiscard]] std::optional<membership::member> find(const host_id& host) const;

    /// The link address of an upstream's agent; empty where it is not known.
    [[nodiscard]] std::string address_of(const upstream_id& upstream) const;

    [[nodiscard]] std::vector<membership::member> all() const;
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        membership::member m_member;
        bool m_is_unreachable = false;
    };

    static membership::member as_seen(const entry& item);

    mutable std::mutex m_mutex;
    std::map<host_id, entry> m_members;
    std::map<upstream_id, std::string> m_addresses;
};

}  // namespace dewbeam::entry
