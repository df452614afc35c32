#include "dewbeam/src/gateway/good_runs.h"

#include <algorithm>
#include <utility>

namespace dewbeam::gateway {

namespace {

/// Bounds the number of crashes that a content may cause after it ran successfully before.
constexpr std::uint32_t max_of_one_content = 4;
constexpr std::size_t max_young = 4096;
constexpr time_span recent_window = std::chrono::seconds(10);

/// The record of a content in the younger generation.
good_run_record& young_record(good_runs& runs, fingerprint content)
{
    if (runs.m_young.size() >= max_young) {
        runs.m_old = std::exchange(runs.m_young, {});
    }
    auto& record = runs.m_young[content];
    const auto before = runs.m_old.find(content);
    if (before != runs.m_old.end()) {
        record = before->second;
        runs.m_old.erase(before);
    }
    return record;
}

}  // namespace

void note_good_run(good_runs& runs, fingerprint content, time_point now)
{
    auto& record = young_record(runs, content);
    record.m_unspent = std::min(record.m_unspent + 1, max_of_one_content);
    record.m_latest = now;
}

void note_spent_good_run(good_runs& runs, fingerprint content, time_point now)
{
    young_record(runs, content).m_latest = now;
}

bool has_recent_good_run(const good_runs& runs, fingerprint content, time_point now)
{
    for (const auto* generation : {&runs.m_young, &runs.m_old}) {
        const auto place = generation->find(content);
        if (place != generation->end() && now < place->second.m_latest + recent_window) {
            return true;
        }
    }
    return false;
}

bool spend_good_run(good_runs& runs, fingerprint content)
{
    for (auto* generation : {&runs.m_young, &runs.m_old}) {
        const auto place = generation->find(content);
        if (place != generation->end() && place->second.m_unspent > 0) {
            --place->second.m_unspent;
            return true;
        }
    }
    return false;
}

}  // namespace dewbeam::gateway
