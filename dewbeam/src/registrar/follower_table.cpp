#include "dewbeam/src/registrar/follower_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "dewbeam/src/registrar/addresses.h"

namespace dewbeam::registrar {

namespace {

using followers = std::unordered_map<std::string, follower>;

bool is_valid(const follower_place& place)
{
    return id_of(place.m_address) != consensus::replica_id{} && !place.m_host.value().empty();
}

void erase_oldest(follower_table& table)
{
    const auto oldest = std::min_element(
        table.m_followers.begin(), table.m_followers.end(),
        [](const auto& a, const auto& b) { return a.second.m_seen_at < b.second.m_seen_at; });
    table.m_followers.erase(oldest);
}

/// The entry of a follower, which takes over the address if another host had it.
followers::iterator place_of(follower_table& table, const follower_place& place, time_point now)
{
    const auto known = table.m_followers.find(place.m_address);
    if (known != table.m_followers.end() && known->second.m_host == place.m_host) {
        return known;
    }
    if (known == table.m_followers.end() && table.m_followers.size() >= max_followers) {
        erase_oldest(table);
    }
    ++table.m_places_changed;
    follower fresh;
    fresh.m_host = place.m_host;
    fresh.m_invite_at = now + invitation_delay;
    return table.m_followers.insert_or_assign(place.m_address, fresh).first;
}

void forget_old(follower_table& table, time_point now)
{
    const auto forgotten = std::erase_if(table.m_followers, [&](const auto& item) {
        return item.second.m_seen_at + follower_retention <= now;
    });
    table.m_places_changed += forgotten;
}

void put(const std::string& address, const follower& subject, time_point now,
         wire::RegistrySync& sync)
{
    using std::chrono::milliseconds;
    const auto age = std::chrono::duration_cast<milliseconds>(now - subject.m_seen_at);
    auto& item = *sync.add_followers();
    item.set_address(address);
    item.set_host(subject.m_host.value());
    item.set_seen_ms_ago(static_cast<std::uint64_t>(std::max(age, milliseconds(0)).count()));
}

}  // namespace

bool note_watch(follower_table& table, const follower_place& place, time_point now)
{
    if (!is_valid(place)) {
        return false;
    }
    auto& known = place_of(table, place, now)->second;
    known.m_seen_at = now;
    known.m_invite_at = now + invitation_delay;
    const bool was_invited = known.m_invited_at.has_value();
    known.m_invited_at.reset();
    return was_invited;
}

void note_follower(follower_table& table, const follower_place& place, time_span age,
                   time_point now)
{
    if (!is_valid(place) || age >= follower_retention) {
        return;
    }
    const auto seen_at = now - age;
    const auto known = table.m_followers.find(place.m_address);
    if (known != table.m_followers.end() && known->second.m_seen_at >= seen_at) {
        return;  // it may have been told by a registry that hasn't heard of the address's new host
    }
    auto& subject = place_of(table, place, now)->second;
    subject.m_seen_at = seen_at;
    subject.m_is_handed_on = true;  // by the registry that told it
}

bool is_silent(const follower& subject, time_point now)
{
    return subject.m_invite_at <= now;
}

std::vector<follower_place> take_due_invitations(follower_table& table, time_point now)
{
    if (now < table.m_next_round) {
        return {};
    }
    table.m_next_round = now + invitation_interval;
    forget_old(table, now);
    std::vector<followers::iterator> due;
    for (auto place = table.m_followers.begin(); place != table.m_followers.end(); ++place) {
        if (is_silent(place->second, now)) {
            due.push_back(place);
        }
    }
    const auto is_first = [](const auto& a, const auto& b) {
        return a->second.m_invited_at < b->second.m_invited_at;  // empty ones first
    };
    const auto count = std::min(due.size(), max_invitations);
    std::partial_sort(due.begin(), due.begin() + static_cast<std::ptrdiff_t>(count), due.end(),
                      is_first);
    due.resize(count);
    std::vector<follower_place> result;
    for (const auto& place : due) {
        place->second.m_invited_at = now;
        result.push_back({place->first, place->second.m_host});
    }
    return result;
}

void postpone_invitations(follower_table& table, time_span held_up)
{
    for (auto& [address, subject] : table.m_followers) {
        subject.m_invite_at += held_up;
    }
}

void put_all_followers(const follower_table& table, time_point now, wire::RegistrySync& sync)
{
    for (const auto& [address, subject] : table.m_followers) {
        put(address, subject, now, sync);
    }
}

void put_new_followers(follower_table& table, time_point now, wire::RegistrySync& sync)
{
    for (auto& [address, subject] : table.m_followers) {
        if (!std::exchange(subject.m_is_handed_on, true)) {
            put(address, subject, now, sync);
        }
    }
}

void take_followers(follower_table& table, const wire::RegistrySync& sync, time_point now)
{
    using std::chrono::milliseconds;
    const auto longest = std::chrono::duration_cast<milliseconds>(follower_retention);
    for (const auto& item : sync.followers()) {
        const auto age = std::min(item.seen_ms_ago(), static_cast<std::uint64_t>(longest.count()));
        note_follower(table, {item.address(), host_id(item.host())},
                      milliseconds(static_cast<std::int64_t>(age)), now);
    }
}

bool is_for(const wire::WatchInvitation& invitation, std::uint64_t log, std::string_view own_host)
{
    return log != 0 && invitation.host() == own_host;
}

std::string to_json(const follower_table& table)
{
    auto result = nlohmann::json::array();
    for (const auto& [address, subject] : table.m_followers) {
        result.push_back({{"address", address}, {"host", subject.m_host.value()}});
    }
    return write_json(result);
}

std::vector<follower_place> parse_followers(std::string_view text)
{
    std::vector<follower_place> result;
    const auto document = parse_json(text);
    if (!document.ok() || !document->is_array()) {
        log_event(log_level::warning, "followers_not_read", {{"bytes", text.size()}});
        return result;
    }
    for (const auto& item : *document) {
        const bool has_texts = item.is_object() && item.contains("address") &&
                               item["address"].is_string() && item.contains("host") &&
                               item["host"].is_string();
        if (has_texts) {
            result.push_back({item["address"], host_id(item["host"].get<std::string>())});
        }
    }
    if (result.size() < document->size()) {
        log_event(log_level::warning, "followers_left_out",
                  {{"count", document->size() - result.size()}});
    }
    return result;
}

}  // namespace dewbeam::registrar
