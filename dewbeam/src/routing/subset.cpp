#include "dewbeam/src/routing/subset.h"

#include <algorithm>

namespace dewbeam::routing {

namespace {

struct ranked {
    std::uint64_t m_rank;
    upstream_index m_index;
};

}  // namespace

std::vector<upstream_index> choose_subset(const std::vector<subset_candidate>& candidates,
                                          const host_id& entry, std::size_t size)
{
    const auto seed = stable_hash(entry.value());
    std::vector<ranked> order;
    order.reserve(candidates.size());
    for (const auto& candidate : candidates) {
        order.push_back({stable_hash(candidate.m_name.value(), seed), candidate.m_index});
    }
    const auto kept = std::min(size, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
                      [](const ranked& a, const ranked& b) {
                          return a.m_rank != b.m_rank ? a.m_rank > b.m_rank : a.m_index < b.m_index;
                      });
    std::vector<upstream_index> result;
    result.reserve(kept);
    for (std::size_t i = 0; i < kept; ++i) {
        result.push_back(order[i].m_index);
    }
    return result;
}

}  // namespace dewbeam::routing
