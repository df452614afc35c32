/// \file
/// Suspicions: which contents were running when upstreams died.
///
/// The death of an upstream makes a suspect of everything that it was running. A suspect runs
/// alone; if an upstream dies of it a second time, it is quarantined: refused at once until a
/// stated time. Entries exchange plain records; merging is commutative, associative and
/// idempotent, so records may arrive late, twice and in any order.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::quarantine {

/// One death of an upstream's process.
struct death {
    upstream_id m_upstream;
    incarnation m_incarnation;
    time_point m_at{};
    bool m_alone = false;  ///< nothing else ran there

    friend bool operator==(const death&, const death&) = default;
};

/// What is known of one content. Between entries the times go as wall-clock times, which agree to
/// within seconds; the program converts.
struct suspicion {
    fingerprint m_content;
    std::vector<death> m_deaths;  ///< after `m_cleared_at`, the newest first, each once
    time_point m_cleared_at = time_point::min();  ///< ran to its end alone, or was lifted

    friend bool operator==(const suspicion&, const suspicion&) = default;
};

/// Where a content stands.
enum class standing {
    clear,
    suspect,      ///< may run alone
    quarantined,  ///< may not run
};

/// Limits, set by the operator.
struct quarantine_options {
    time_span m_suspect_for = std::chrono::minutes(10);
    time_span m_quarantine_for = std::chrono::minutes(10);  ///< from the last death on
    std::size_t m_most_records = 4096;
};

/// All suspicions that an entry knows; ordered, so that nothing depends on a hash.
struct suspicion_table {
    quarantine_options m_options;
    std::map<fingerprint, suspicion> m_records;
};

/// A death while `content` was running; gives the record to send to the other entries.
suspicion note_death(suspicion_table& table, fingerprint content, const death& how);

/// `content` ran alone to its end, or an operator lifts its quarantine; gives the record to send,
/// or nothing where the content was not known.
std::optional<suspicion> clear(suspicion_table& table, fingerprint content, time_point now);

/// Takes in a record from another entry; true if it said anything new.
bool merge(suspicion_table& table, const suspicion& record);

/// Where a content stands now.
standing standing_of(const suspicion_table& table, fingerprint content, time_point now);

/// When a quarantine ends; `now` for a content that is not quarantined.
time_point ends_at(const suspicion_table& table, fingerprint content, time_point now);

/// Forgets what has run out, and beyond the limit the oldest.
void expire(suspicion_table& table, time_point now);

/// All records, for a full exchange with an entry that was cut off.
std::vector<suspicion> all_records(const suspicion_table& table);

}  // namespace dewbeam::quarantine
