/// \file
/// Contents that recently ran successfully. A content that many callers send is often running where
/// an upstream crashes; its successful runs distinguish it from a content that causes crashes.
#pragma once

#include <unordered_map>

#include "dewbeam/base"

namespace dewbeam::gateway {

/// The successful runs of one content.
struct good_run_record {
    std::uint32_t m_unspent = 0;
    time_point m_latest{};
};

/// Bounded by two generations: when the younger one is full, it replaces the older one.
struct good_runs {
    std::unordered_map<fingerprint, good_run_record> m_young;
    std::unordered_map<fingerprint, good_run_record> m_old;
};

/// Records a successful run, which may offset a later crash report.
void note_good_run(good_runs& runs, fingerprint content, time_point now);

/// Records a successful run that has offset a crash report.
void note_spent_good_run(good_runs& runs, fingerprint content, time_point now);

/// Whether a content ran successfully within the last seconds.
bool has_recent_good_run(const good_runs& runs, fingerprint content, time_point now);

/// Uses up one successful run, which offsets one crash report. Returns false if there is none.
bool spend_good_run(good_runs& runs, fingerprint content);

}  // namespace dewbeam::gateway
