/// \file
/// Local search over one layer: a sequence of single changes, each taking load off the busiest
/// rank.
#pragma once

#include "dewbeam/base"
#include "dewbeam/src/experts/expert_map.h"

namespace dewbeam::experts {

/// One change of a layer: one slot takes another expert, or two slots swap theirs.
struct layer_change {
    std::uint32_t m_slot = 0;  ///< over all ranks
    expert_id m_expert;        ///< what it takes
    bool m_is_swap = false;
    std::uint32_t m_other_slot = 0;  ///< of a swap: takes what `m_slot` held
    double m_slowest_after = 0;      ///< tokens of the busiest rank after this change
};

/// Where the search stops.
struct search_limits {
    std::uint32_t m_most_changes = 32;
    double m_target_skew = 1.0;  ///< good enough: the search ends below this
    /// Experts that a rank may take that it did not hold before; 0: as many as there are slots.
    std::uint32_t m_most_new_per_rank = 0;
};

/// The changes in the order in which they help, one after the other; none makes the busiest
/// ranks busier, and each expert keeps a slot.
std::vector<layer_change> search_layer(const group_shape& shape, const layer_map& map,
                                       const layer_counts& counts, const rank_speeds& speeds,
                                       const search_limits& limits);

/// Applies one change.
void apply(layer_map& map, const layer_change& change);

/// How many fetches a change needs.
std::uint32_t fetches_of(const layer_change& change);

}  // namespace dewbeam::experts
