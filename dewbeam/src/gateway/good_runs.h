/// \file
/// Contents that ran to their end lately. One that many callers send runs wherever an upstream
/// ends, and is told from one that ends upstreams by its good runs.
#pragma once

#include <unordered_map>

#include "dewbeam/base"

namespace dewbeam::gateway {

/// Bounded: two generations, of which the older one is dropped when the younger one is full.
struct good_runs {
    std::unordered_map<fingerprint, std::uint32_t> m_young;
    std::unordered_map<fingerprint, std::uint32_t> m_old;
};

/// A run ended well.
void note_good_run(good_runs& runs, fingerprint content);

/// Uses up one run, which speaks against one death of an upstream; false where there is none.
bool spend_good_run(good_runs& runs, fingerprint content);

}  // namespace dewbeam::gateway
