#include "dewbeam/src/retry/sharing.h"

namespace dewbeam::retry {

namespace {

/// Share of the budget that is used. The margin is needed because the number of gateways is known
/// with a delay, buckets also fill with time, and the budget applies to any span of some seconds.
constexpr double used_share = 0.8;

}  // namespace

budget_options part_of(const deployment_budget& all, std::uint32_t gateways)
{
    budget_options result;
    result.m_share = used_share * all.m_share;
    result.m_burst = used_share * all.m_burst / gateways;
    return result;
}

}  // namespace dewbeam::retry
