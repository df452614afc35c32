/// \file
/// The part that each gateway has in the retry budget of a deployment. Gateways share no counter:
/// the parts alone keep the sum within the budget, whatever restarts, joins or is cut off.
#pragma once

#include <cstdint>

#include "dewbeam/base"
#include "dewbeam/src/retry/budget.h"

namespace dewbeam::retry {

/// Retries that all gateways of a deployment together may send to a service.
struct deployment_budget {
    double m_share = 0.1;   ///< for each first try
    double m_burst = 40.0;  ///< beyond that, in any span of some seconds
};

/// How long a part is divided by the highest number of gateways heard. Registries that have just
/// started, or are cut off with some of the gateways, know fewer; a cut may last for minutes.
inline constexpr time_span count_retention = std::chrono::minutes(15);

/// The part of one of `gateways`. A new bucket is empty: the process before this one may have sent
/// its whole part just before.
budget_options part_of(const deployment_budget& all, std::uint32_t gateways);

}  // namespace dewbeam::retry
