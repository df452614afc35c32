/// \file
/// The deterministic subset of upstreams that one entry uses when there are many.
#pragma once

#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/routing/index_set.h"

namespace dewbeam::routing {

/// An upstream that could be in the subset.
struct subset_candidate {
    upstream_index m_index = 0;
    upstream_id m_name;
};

/// The `size` candidates with the highest rendezvous rank for this entry, in rank order; all of
/// them where there are no more. When one comes or goes, at most one other changes.
std::vector<upstream_index> choose_subset(const std::vector<subset_candidate>& candidates,
                                          const host_id& entry, std::size_t size);

}  // namespace dewbeam::routing
