#include "dewbeam/src/entry/member_table.h"

namespace dewbeam::entry {

membership::member member_table::effective_member(const entry& item)
{
    auto result = item.m_member;
    result.m_suspect = result.m_suspect || item.m_is_unreachable;
    // Membership tracks the lease and has members removed that it considers dead.
    result.m_lease_deadline = no_deadline;
    return result;
}

bool member_table::is_new_process(const membership::member& fresh) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_members.find(fresh.m_host);
    return place != m_members.end() && place->second.m_member.m_incarnation < fresh.m_incarnation;
}

void member_table::update_member(const membership::member& fresh)
{
    const std::lock_guard lock(m_mutex);
    auto& item = m_members[fresh.m_host];
    const bool is_new_process = item.m_member.m_incarnation != fresh.m_incarnation;
    const auto load = item.m_member.m_load;
    item.m_member = fresh;
    if (is_new_process) {
        item.m_is_unreachable = false;
    }
    else {
        item.m_member.m_load = load;
    }
    m_addresses[fresh.m_upstream] = fresh.m_address;
}

bool member_table::remove(const membership::member& dead)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_members.find(dead.m_host);
    const bool is_known =
        place != m_members.end() && place->second.m_member.m_incarnation <= dead.m_incarnation;
    if (is_known) {
        m_addresses.erase(place->second.m_member.m_upstream);
        m_members.erase(place);
    }
    return is_known;
}

void member_table::take_load(const host_id& host, const membership::member_load& load)
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_members.find(host);
    if (place != m_members.end()) {
        place->second.m_member.m_load = load;
        place->second.m_is_unreachable = false;
    }
}

std::optional<membership::member> member_table::find(const host_id& host) const
{
    const std::lock_guard lock(m_mutex);
    const auto place = m_members.find(host);
    return place == m_members.end() ? std::nullopt : std::optional(effective_member(place->second));
}

std::vector<host_id> member_table::set_unreachable(const std::string& address)
{
    std::vector<host_id> result;
    const std::lock_guard lock(m_mutex);
    for (auto& [host, item] : m_members) {
        if (item.m_member.m_address == address) {
            item.m_is_unreachable = true;
            result.push_back(host);
        }
    }
    return result;
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
    for (const auto& [host, item] : m_members) {
        result.push_back(effective_member(item));
    }
    return result;
}

std::size_t member_table::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_members.size();
}

}  // namespace dewbeam::entry
