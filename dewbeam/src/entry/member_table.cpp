#include "dewbeam/src/entry/member_table.h"

#include <utility>

#include "dewbeam/src/entry/member_wire.h"

namespace dewbeam::entry {

nlohmann::json to_json(const membership::member& member)
{
    nlohmann::json labels = nlohmann::json::object();
    for (const auto& label : member.m_labels) {
        labels[label.m_key] = label.m_value;
    }
    nlohmann::json models = nlohmann::json::array();
    for (const auto& model : member.m_models) {
        models.push_back(model.value());
    }
    return {{"host", member.m_host.value()},
            {"role", membership::to_string(member.m_role)},
            {"failure_domain", member.m_failure_domain.value()},
            {"address", member.m_address},
            {"http_address", member.m_http_address},
            {"upstream", member.m_upstream.value()},
            {"labels", labels},
            {"models", models},
            {"slots", member.m_slots},
            {"incarnation", member.m_incarnation.value()},
            {"leaving", member.m_leaving},
            {"suspect", member.m_suspect},
            {"dead", member.m_dead},
            {"configuration",
             {{"term", member.m_configuration.m_term}, {"index", member.m_configuration.m_index}}}};
}

std::optional<membership::member> member_table::take(const wire::Announcement& message,
                                                     time_point now)
{
    auto fresh = from_wire(message, now);
    const std::lock_guard lock(m_mutex);
    const auto place = m_members.find(fresh.m_host);
    if (place != m_members.end() && !membership::is_newer(fresh, place->second)) {
        return std::nullopt;
    }
    if (fresh.m_role == membership::role::agent) {
        m_addresses[fresh.m_upstream] = fresh.m_address;
    }
    m_members[fresh.m_host] = fresh;
    return fresh;
}

std::vector<membership::member> member_table::remove_expired(time_point now)
{
    std::vector<membership::member> gone;
    const std::lock_guard lock(m_mutex);
    for (auto place = m_members.begin(); place != m_members.end();) {
        if (place->second.m_lease_deadline > now) {
            ++place;
            continue;
        }
        m_addresses.erase(place->second.m_upstream);
        gone.push_back(std::move(place->second));
        place = m_members.erase(place);
    }
    return gone;
}

std::string member_table::address_of(const upstream_id& upstream) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_addresses.find(upstream);
    return place == m_addresses.end() ? std::string() : place->second;
}

std::vector<membership::member> member_table::all() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<membership::member> result;
    for (const auto& [host, member] : m_members) {
        result.push_back(member);
    }
    return result;
}

std::size_t member_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_members.size();
}

}  // namespace dewbeam::entry
