#include "dewbeam/src/quarantine/suspicion.h"

#include <algorithm>
#include <tuple>

namespace dewbeam::quarantine {

namespace {

/// Two deaths convict; the first makes a suspect. Suspects run alone, so the second death of an
/// innocent needs a second fault at the same upstream while nothing else ran there.
constexpr std::size_t deaths_to_quarantine = 2;
/// More deaths than this tell nothing new.
constexpr std::size_t most_deaths = 4;

bool is_same_death(const death& a, const death& b)
{
    return a.m_upstream == b.m_upstream && a.m_incarnation == b.m_incarnation;
}

/// Newest first; a total order, so that what the limit drops doesn't depend on the order of merges.
bool is_newer(const death& a, const death& b)
{
    return std::tie(b.m_at, a.m_upstream, a.m_incarnation) <
           std::tie(a.m_at, b.m_upstream, b.m_incarnation);
}

void add_death(suspicion& record, const death& how)
{
    auto& deaths = record.m_deaths;
    const auto same = std::find_if(deaths.begin(), deaths.end(),
                                   [&](const death& d) { return is_same_death(d, how); });
    if (same == deaths.end()) {
        deaths.push_back(how);
        return;
    }
    same->m_at = std::max(same->m_at, how.m_at);
    same->m_alone = same->m_alone || how.m_alone;
}

/// Drops what a clearing wiped out and what is beyond the limit.
void tidy(suspicion& record)
{
    auto& deaths = record.m_deaths;
    std::erase_if(deaths, [&](const death& d) { return d.m_at <= record.m_cleared_at; });
    std::sort(deaths.begin(), deaths.end(), is_newer);
    if (deaths.size() > most_deaths) {
        deaths.resize(most_deaths);
    }
}

time_point last_event(const suspicion& record)
{
    return record.m_deaths.empty() ? record.m_cleared_at : record.m_deaths.front().m_at;
}

time_point end_of(const suspicion_table& table, const suspicion& record)
{
    const auto& options = table.m_options;
    const bool is_quarantined = record.m_deaths.size() >= deaths_to_quarantine;
    return last_event(record) + (is_quarantined ? options.m_quarantine_for : options.m_suspect_for);
}

const suspicion* find(const suspicion_table& table, fingerprint content)
{
    const auto place = table.m_records.find(content);
    return place == table.m_records.end() ? nullptr : &place->second;
}

void drop_oldest(suspicion_table& table)
{
    const auto oldest = std::min_element(
        table.m_records.begin(), table.m_records.end(),
        [](const auto& a, const auto& b) { return last_event(a.second) < last_event(b.second); });
    table.m_records.erase(oldest);
}

}  // namespace

suspicion note_death(suspicion_table& table, fingerprint content, const death& how)
{
    auto& record = table.m_records[content];
    record.m_content = content;
    add_death(record, how);
    tidy(record);
    auto result = record;
    if (table.m_records.size() > table.m_options.m_most_records) {
        drop_oldest(table);
    }
    return result;
}

std::optional<suspicion> clear(suspicion_table& table, fingerprint content, time_point now)
{
    const auto place = table.m_records.find(content);
    if (place == table.m_records.end()) {
        return std::nullopt;
    }
    auto& record = place->second;
    record.m_cleared_at = std::max(record.m_cleared_at, now);
    tidy(record);
    return record;
}

bool merge(suspicion_table& table, const suspicion& record)
{
    auto& own = table.m_records[record.m_content];
    const auto before = own;
    own.m_content = record.m_content;
    own.m_cleared_at = std::max(own.m_cleared_at, record.m_cleared_at);
    for (const auto& how : record.m_deaths) {
        add_death(own, how);
    }
    tidy(own);
    const bool is_news = own != before;
    if (table.m_records.size() > table.m_options.m_most_records) {
        drop_oldest(table);
    }
    return is_news;
}

standing standing_of(const suspicion_table& table, fingerprint content, time_point now)
{
    const auto* record = find(table, content);
    if (record == nullptr || record->m_deaths.empty() || end_of(table, *record) <= now) {
        return standing::clear;
    }
    return record->m_deaths.size() >= deaths_to_quarantine ? standing::quarantined
                                                           : standing::suspect;
}

time_point ends_at(const suspicion_table& table, fingerprint content, time_point now)
{
    if (standing_of(table, content, now) != standing::quarantined) {
        return now;
    }
    return end_of(table, *find(table, content));
}

void expire(suspicion_table& table, time_point now)
{
    std::erase_if(table.m_records,
                  [&](const auto& item) { return end_of(table, item.second) <= now; });
}

std::vector<suspicion> all_records(const suspicion_table& table)
{
    std::vector<suspicion> result;
    result.reserve(table.m_records.size());
    for (const auto& item : table.m_records) {
        result.push_back(item.second);
    }
    return result;
}

}  // namespace dewbeam::quarantine
