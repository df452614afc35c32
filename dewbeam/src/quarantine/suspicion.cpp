#include "dewbeam/src/quarantine/suspicion.h"

#include <algorithm>
#include <tuple>

namespace dewbeam::quarantine {

namespace {

/// More deaths than this tell nothing new.
constexpr std::size_t most_deaths = 8;
/// Of looking at all records.
constexpr time_span expiry_interval = std::chrono::seconds(1);

bool is_same_death(const crash_report& a, const crash_report& b)
{
    return a.m_upstream == b.m_upstream && a.m_incarnation == b.m_incarnation;
}

/// Newest first; a total order, so that what the limit drops doesn't depend on the order of merges.
/// Where the order of deaths is known, times are left out: each process has its own of them.
bool is_newer(const crash_report& a, const crash_report& b)
{
    const bool has_order = a.m_order != 0 || b.m_order != 0;
    const auto at_a = has_order ? time_point{} : a.m_at;
    const auto at_b = has_order ? time_point{} : b.m_at;
    return std::tie(b.m_order, at_b, a.m_upstream, a.m_incarnation) <
           std::tie(a.m_order, at_a, b.m_upstream, b.m_incarnation);
}

void add_death(suspicion& record, const crash_report& how)
{
    auto& deaths = record.m_crash_reports;
    const auto same = std::find_if(deaths.begin(), deaths.end(),
                                   [&](const crash_report& d) { return is_same_death(d, how); });
    if (same == deaths.end()) {
        deaths.push_back(how);
        return;
    }
    same->m_at = std::max(same->m_at, how.m_at);
    same->m_alone = same->m_alone || how.m_alone;
    same->m_order = std::max(same->m_order, how.m_order);
    same->m_is_doubtful = same->m_is_doubtful && how.m_is_doubtful;
    same->m_is_outweighed = same->m_is_outweighed || how.m_is_outweighed;
}

/// Drops what a clearing wiped out and what is beyond the limit.
void tidy(suspicion& record)
{
    auto& deaths = record.m_crash_reports;
    std::erase_if(deaths, [&](const crash_report& d) { return d.m_at <= record.m_cleared_at; });
    std::sort(deaths.begin(), deaths.end(), is_newer);
    if (deaths.size() > most_deaths) {
        deaths.resize(most_deaths);
    }
}

time_point last_event(const suspicion& record)
{
    auto result = record.m_cleared_at;
    for (const auto& item : record.m_crash_reports) {
        result = std::max(result, item.m_at);
    }
    return result;
}

/// Whether a run that ended well outweighs all deaths of an order, those that are reported later
/// too. A doubtful death may be outweighed only because its upstream turned out alive.
bool is_order_outweighed(const suspicion& record, std::uint32_t order)
{
    return order != 0 && std::any_of(record.m_crash_reports.begin(), record.m_crash_reports.end(),
                                     [&](const crash_report& item) {
                                         return item.m_order == order && item.m_is_outweighed &&
                                                !item.m_is_doubtful;
                                     });
}

/// Deaths that count, by their order, with those that are in doubt at `now`, if given.
std::vector<const crash_report*> counted(const suspicion& record, time_span doubt_for = {},
                                         time_point now = no_deadline)
{
    std::vector<const crash_report*> result;
    for (const auto& item : record.m_crash_reports) {
        const bool is_open = !item.m_is_doubtful || now - doubt_for < item.m_at;
        const bool is_known =
            item.m_order != 0 &&
            std::any_of(result.begin(), result.end(),
                        [&](const crash_report* other) { return other->m_order == item.m_order; });
        const bool is_outweighed =
            item.m_is_outweighed || is_order_outweighed(record, item.m_order);
        if (is_open && !is_outweighed && !is_known) {
            result.push_back(&item);
        }
    }
    std::stable_sort(
        result.begin(), result.end(),
        [](const crash_report* a, const crash_report* b) { return a->m_order < b->m_order; });
    return result;
}

time_point end_of(const suspicion_table& table, const suspicion& record)
{
    const auto& options = table.m_options;
    const bool is_quarantined = counted(record).size() >= options.m_deaths_to_quarantine;
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

suspicion note_crash(suspicion_table& table, fingerprint content, const crash_report& how)
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
    for (const auto& how : record.m_crash_reports) {
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
    if (record == nullptr || end_of(table, *record) <= now) {
        return standing::clear;
    }
    const auto& options = table.m_options;
    if (counted(*record).size() >= options.m_deaths_to_quarantine) {
        return standing::quarantined;
    }
    const auto open = counted(*record, options.m_doubt_for, now);
    const bool is_doubted = std::any_of(
        open.begin(), open.end(), [](const crash_report* item) { return item->m_is_doubtful; });
    if (is_doubted && open.size() >= options.m_deaths_to_hold) {
        return standing::quarantined;
    }
    return open.empty() ? standing::clear : standing::suspect;
}

std::size_t deaths_of(const suspicion_table& table, fingerprint content, time_point now)
{
    const auto* record = find(table, content);
    return record == nullptr || end_of(table, *record) <= now ? 0 : counted(*record).size();
}

std::uint32_t next_order(const suspicion_table& table, fingerprint content)
{
    std::uint32_t highest = 0;
    if (const auto* record = find(table, content)) {
        for (const auto& item : record->m_crash_reports) {
            highest = std::max(highest, item.m_order);
        }
    }
    return highest + 1;
}

std::optional<suspicion> outweigh(suspicion_table& table, fingerprint content, time_point now)
{
    const auto place = table.m_records.find(content);
    if (place == table.m_records.end()) {
        return std::nullopt;
    }
    const auto deaths = counted(place->second, table.m_options.m_doubt_for, now);
    if (deaths.empty()) {
        return std::nullopt;
    }
    const auto first = *deaths.front();
    for (auto& item : place->second.m_crash_reports) {
        const bool is_beside = first.m_order != 0 && item.m_order == first.m_order;
        item.m_is_outweighed = item.m_is_outweighed || is_beside || is_same_death(item, first);
    }
    return place->second;
}

std::optional<suspicion> news_of(const suspicion_table& table, const suspicion& record)
{
    const auto* known = find(table, record.m_content);
    if (known == nullptr) {
        return record;
    }
    suspicion result;
    result.m_content = record.m_content;
    result.m_cleared_at = record.m_cleared_at;
    for (const auto& item : record.m_crash_reports) {
        const auto same =
            std::find_if(known->m_crash_reports.begin(), known->m_crash_reports.end(),
                         [&](const crash_report& d) { return is_same_death(d, item); });
        if (same == known->m_crash_reports.end()) {
            result.m_crash_reports.push_back(item);
            continue;
        }
        auto merged = *same;
        merged.m_order = std::max(merged.m_order, item.m_order);
        merged.m_is_doubtful = merged.m_is_doubtful && item.m_is_doubtful;
        merged.m_is_outweighed = merged.m_is_outweighed || item.m_is_outweighed;
        if (merged != *same) {
            result.m_crash_reports.push_back(merged);
        }
    }
    const bool is_cleared_later = record.m_cleared_at > known->m_cleared_at;
    return result.m_crash_reports.empty() && !is_cleared_later ? std::nullopt
                                                               : std::optional(result);
}

time_point ends_at(const suspicion_table& table, fingerprint content, time_point now)
{
    if (standing_of(table, content, now) != standing::quarantined) {
        return now;
    }
    const auto& record = *find(table, content);
    const auto& options = table.m_options;
    if (counted(record).size() >= options.m_deaths_to_quarantine) {
        return end_of(table, record);
    }
    const auto open = counted(record, options.m_doubt_for, now);
    const auto newest = std::max_element(
        open.begin(), open.end(),
        [](const crash_report* a, const crash_report* b) { return a->m_at < b->m_at; });
    return (*newest)->m_at + options.m_doubt_for;
}

void expire(suspicion_table& table, time_point now)
{
    if (now < table.m_next_expiry) {
        return;
    }
    table.m_next_expiry = now + expiry_interval;
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
