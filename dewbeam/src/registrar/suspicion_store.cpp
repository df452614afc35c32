#include "dewbeam/src/registrar/suspicion_store.h"

#include <algorithm>

namespace dewbeam::registrar {

namespace {

constexpr std::size_t max_in_message = 128;
/// Caps received ages so that subtractions can't overflow. Exceeds the retention of records.
constexpr std::uint64_t max_age_us = 3'600'000'000;
/// Several watch intervals of a gateway. A disconnected gateway blocks a content for no longer.
constexpr time_span run_grant_lease = std::chrono::milliseconds(1500);

std::uint64_t microseconds(time_span value)
{
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, count));
}

time_span from_microseconds(std::uint64_t count)
{
    return std::chrono::microseconds(std::min(count, max_age_us));
}

void to_wire(const pooled_suspicion& source, time_point now, wire::Suspicion& out)
{
    out.set_pool(source.m_pool);
    out.set_fingerprint(source.m_record.m_content.value());
    for (const auto& item : source.m_record.m_crash_reports) {
        auto& crash_report = *out.add_deaths();
        crash_report.set_upstream(item.m_upstream.value());
        crash_report.set_incarnation(item.m_incarnation.value());
        crash_report.set_age_us(microseconds(now - item.m_at));
        crash_report.set_order(item.m_order);
        crash_report.set_doubtful(item.m_is_doubtful);
        crash_report.set_outweighed(item.m_is_outweighed);
    }
}

void mark_changed(suspicion_store& board, fingerprint content, const std::string& pool)
{
    auto& place = board.m_entries[content];
    place.m_pool = pool;
    place.m_change = ++board.m_last_change;
}

/// Removes the entries whose record is no longer in the table.
void remove_orphaned_entries(suspicion_store& board)
{
    std::erase_if(board.m_entries,
                  [&](const auto& item) { return !board.m_table.m_records.contains(item.first); });
}

}  // namespace

std::optional<quarantine::suspicion> take(suspicion_store& board, const pooled_suspicion& received)
{
    auto news = quarantine::news_of(board.m_table, received.m_record);
    if (!news || !quarantine::merge(board.m_table, *news)) {
        return std::nullopt;
    }
    mark_changed(board, received.m_record.m_content, received.m_pool);
    if (board.m_entries.size() > board.m_table.m_records.size()) {
        remove_orphaned_entries(board);
    }
    return news;
}

std::optional<pooled_suspicion> outweigh(suspicion_store& board, fingerprint content,
                                         time_point now)
{
    auto record = quarantine::outweigh(board.m_table, content, now);
    if (!record) {
        return std::nullopt;
    }
    const auto pool = board.m_entries[content].m_pool;
    mark_changed(board, content, pool);
    return pooled_suspicion{pool, *std::move(record)};
}

void expire(suspicion_store& board, time_point now)
{
    quarantine::expire(board.m_table, now);
    if (board.m_entries.size() > board.m_table.m_records.size()) {
        remove_orphaned_entries(board);
    }
    std::erase_if(board.m_run_grants,
                  [&](const auto& item) { return item.second.m_deadline <= now; });
}

std::uint64_t put_changes(const suspicion_store& board, std::uint64_t change, time_point now,
                          google::protobuf::RepeatedPtrField<wire::Suspicion>& out)
{
    if (change >= board.m_last_change) {
        return change;
    }
    std::vector<std::pair<std::uint64_t, fingerprint>> due;
    for (const auto& [content, item] : board.m_entries) {
        if (item.m_change > change) {
            due.emplace_back(item.m_change, content);
        }
    }
    std::sort(due.begin(), due.end());
    due.resize(std::min(due.size(), max_in_message));
    for (const auto& [number, content] : due) {
        const auto& pool = board.m_entries.at(content).m_pool;
        to_wire({pool, board.m_table.m_records.at(content)}, now, *out.Add());
    }
    return due.empty() ? change : due.back().first;
}

pooled_suspicion from_wire(const wire::Suspicion& source, time_point now)
{
    pooled_suspicion result;
    result.m_pool = source.pool();
    result.m_record.m_content = fingerprint(source.fingerprint());
    for (const auto& item : source.deaths()) {
        quarantine::crash_report how;
        how.m_upstream = upstream_id(item.upstream());
        how.m_incarnation = incarnation(item.incarnation());
        how.m_at = now - from_microseconds(item.age_us());
        how.m_order = item.order();
        how.m_is_doubtful = item.doubtful();
        how.m_is_outweighed = item.outweighed();
        result.m_record.m_crash_reports.push_back(how);
    }
    return result;
}

std::vector<fingerprint> set_wanted_turns(suspicion_store& board, const permits::holder_id& holder,
                                          const std::vector<fingerprint>& wanted, time_point now)
{
    std::erase_if(board.m_run_grants, [&](const auto& item) {
        const bool is_dropped = item.second.m_holder == holder &&
                                std::find(wanted.begin(), wanted.end(), item.first) == wanted.end();
        return is_dropped || item.second.m_deadline <= now;
    });
    std::vector<fingerprint> granted;
    for (const auto content : wanted) {
        auto& assigned =
            board.m_run_grants.try_emplace(content, run_grant{holder, now}).first->second;
        if (assigned.m_holder == holder) {
            assigned.m_deadline = now + run_grant_lease;
            granted.push_back(content);
        }
    }
    return granted;
}

}  // namespace dewbeam::registrar
