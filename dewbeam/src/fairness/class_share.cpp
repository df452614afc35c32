#include "dewbeam/src/fairness/class_share.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::fairness {

namespace {

/// Credit may not pile up beyond the head's cost by more than this factor: a floor is a share of
/// the present, not a debt that later crowds out urgent work.
constexpr double most_credit_heads = 2.0;
/// Seconds for which an urgent request counts in the demand.
constexpr double demand_lifetime = 10.0;
constexpr double demand_deviations = 2.0;

}  // namespace

void note_urgent(urgent_demand& demand, std::uint32_t count, time_point now)
{
    const double passed = std::chrono::duration<double>(now - demand.m_counted_at).count();
    const double kept = std::exp(-std::max(0.0, passed) / demand_lifetime);
    demand.m_mean = demand.m_mean * kept + demand.m_count * (1.0 - kept);
    demand.m_count = count;
    demand.m_counted_at = now;
}

std::uint32_t ordinary_slots(const class_options& options, std::uint32_t slots,
                             const urgent_demand& demand)
{
    if (slots <= 1) {
        return slots;
    }
    const double least = slots * options.m_urgent_reserve;
    const double wanted = demand.m_mean + demand_deviations * std::sqrt(demand.m_mean);
    const auto reserved = static_cast<std::uint32_t>(std::ceil(std::max(least, wanted)));
    return slots - std::min(reserved, urgent_slots(options, slots));
}

std::uint32_t urgent_slots(const class_options& options, std::uint32_t slots)
{
    const auto floor = static_cast<std::uint32_t>(std::ceil(slots * options.m_ordinary_floor));
    return std::max(1U, slots - std::min(slots, floor));
}

bool would_wait(const gate_counts& counts, std::uint32_t slots)
{
    return counts.m_running + counts.m_urgent_waiting >= slots || counts.m_urgent_beginning > 0;
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
