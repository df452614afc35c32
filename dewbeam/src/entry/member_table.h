/// \file
/// The members that an entry has heard of, with their leases.
#pragma once

#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/membership"

namespace dewbeam::entry {

/// A member as status pages show it.
nlohmann::json to_json(const membership::member& member);

/// All members. Thread-safe.
class member_table {
public:
    /// Takes an announcement; gives the member where it is not older than what is known.
    std::optional<membership::member> take(const wire::Announcement& message, time_point now);

    /// Removes those whose lease ended, and gives them.
    std::vector<membership::member> remove_expired(time_point now);

    /// The link address of an upstream's agent; empty where it is not known.
    [[nodiscard]] std::string address_of(const upstream_id& upstream) const;

    [[nodiscard]] std::vector<membership::member> all() const;
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex m_mutex;
    std::map<host_id, membership::member> m_members;
    std::map<upstream_id, std::string> m_addresses;
};

}  // namespace dewbeam::entry
