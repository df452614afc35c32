/// \file
/// Suspicions: which contents were running when upstreams died.
///
/// The death of an upstream makes a suspect of everything that it was running. A suspect runs
/// alone, or in turn; if further upstreams die of it, it is quarantined: refused at once until a
/// stated time. Processes exchange plain records; merging is commutative, associative and
/// idempotent, so records may arrive late, twice and in any order.
///
/// What ran beside a crash is told from its cause in two ways. Deaths of runs that began without
/// knowing of each other count once, so that a rack that fails counts once for a content that ran
/// all over it. And a run that ends well outweighs one death, and those that count with it.
#pragma once

#include <map>
#include <optional>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::quarantine {

/// One death of an upstream's process.
struct crash_report {
    upstream_id m_upstream;
    incarnation m_incarnation;
    time_point m_at{};
    bool m_alone = false;  ///< nothing else ran there
    /// One more than the highest order of the content's deaths that was known where the run began:
    /// deaths of one order count once. 0: each counts.
    std::uint32_t m_order = 0;
    bool m_is_doubtful = false;    ///< the upstream answers nothing, but may only be cut off
    bool m_is_outweighed = false;  ///< by a run that ended well, or the upstream turned out alive

    friend bool operator==(const crash_report&, const crash_report&) = default;
};

/// What is known of one content. Between entries the times go as wall-clock times, which agree to
/// within seconds; the program converts.
struct suspicion {
    fingerprint m_content;
    std::vector<crash_report>
        m_crash_reports;  ///< after `m_cleared_at`, the newest first, each once
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
    /// How long a doubtful death counts: until it is known whether the upstream ended.
    time_span m_doubt_for = std::chrono::seconds(8);
    /// With so many deaths, a doubtful one among them, the content waits until the doubt is over.
    std::size_t m_deaths_to_hold = 2;
    std::size_t m_deaths_to_quarantine = 2;
    std::size_t m_most_records = 4096;
};

/// All suspicions that an entry knows; ordered, so that nothing depends on a hash.
struct suspicion_table {
    quarantine_options m_options;
    std::map<fingerprint, suspicion> m_records;
    time_point m_next_expiry{};
};

/// A death while `content` was running; gives the record to send to the other entries.
suspicion note_crash(suspicion_table& table, fingerprint content, const crash_report& how);

/// `content` ran alone to its end, or an operator lifts its quarantine; gives the record to send,
/// or nothing where the content was not known.
std::optional<suspicion> clear(suspicion_table& table, fingerprint content, time_point now);

/// Takes in a record from another entry; true if it said anything new.
bool merge(suspicion_table& table, const suspicion& record);

/// Where a content stands now.
standing standing_of(const suspicion_table& table, fingerprint content, time_point now);

/// Deaths that count against a content, the doubtful ones left out.
std::size_t deaths_of(const suspicion_table& table, fingerprint content, time_point now);

/// The order of a death under a run that begins now.
std::uint32_t next_order(const suspicion_table& table, fingerprint content);

/// A run of `content` ended well: outweighs the first death that counts, doubtful ones among them.
/// Gives the record to send, or nothing where no death counts.
std::optional<suspicion> outweigh(suspicion_table& table, fingerprint content, time_point now);

/// The part of a record that a table doesn't hold yet; nothing where it holds all. Times of known
/// deaths are left out, since each process that passes them on tells them a little later.
std::optional<suspicion> news_of(const suspicion_table& table, const suspicion& record);

/// When a quarantine ends; `now` for a content that is not quarantined.
time_point ends_at(const suspicion_table& table, fingerprint content, time_point now);

/// Forgets what has run out; looks at the records once a second at most.
void expire(suspicion_table& table, time_point now);

/// All records, for a full exchange with an entry that was cut off.
std::vector<suspicion> all_records(const suspicion_table& table);

}  // namespace dewbeam::quarantine
