#include "dewbeam/src/fairness/class_share.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::fairness {

namespace {

/// Credit may not pile up beyond the head's cost by more than this factor: a floor is a share of
/// the present, not a debt that later crowds out urgent work.
constexpr double most_credit_heads = 2.0;

}  // namespace

std::uint32_t ordinary_slots(const class_options& options, std::uint32_t slots)
{
    const auto reserved = static_cast<std::uint32_t>(std::ceil(slots * options.m_urgent_reserve));
    return slots <= 1 ? slots : std::max(1U, slots - std::min(slots, reserved));
}

bool ordinary_is_due(const class_share& share, double cost)
{
    return share.m_credit >= cost;
}

void urgent_went(class_share& share, const class_options& options, double cost, double waiting_cost)
{
    const double earned = cost * options.m_ordinary_floor / (1.0 - options.m_ordinary_floor);
    const double most = most_credit_heads * std::max(waiting_cost, earned);
    share.m_credit = std::min(share.m_credit + earned, most);
}

void ordinary_went(class_share& share, double cost)
{
    share.m_credit = std::max(0.0, share.m_credit - cost);
}

}  // namespace dewbeam::fairness
