/// \file
/// Contents that recently ran successfully. A content that many callers send is often running where
/// an upstream crashes; its successful runs distinguish it from a content that causes crashes.
#pragma once

#include <unordered_map>

#include "dewbeam/base"

namespace dewbeam::gateway {

/// Bounded by two generations: when the younger one is full, it replaces the older one.
struct good_runs {
    std::unordered_map<fingerprint, std::uint32_t> m_young;
    std::unordered_map<fingerprint, std::uint32_t> m_old;
};

/// Records a successful run.
void note_good_run(good_runs& runs, fingerprint content);

/// Uses up one successful run, which offsets one crash report. Returns false if there is none.
bool spend_good_run(good_runs& runs, fingerprint content);

}  // namespace dewbeam::gateway
