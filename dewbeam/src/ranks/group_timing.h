/// \file
/// Intervals and timeouts of the agents of a lock-step group.
#pragma once

#include "dewbeam/src/group/group_runner.h"

namespace dewbeam::ranks {

/// Interval of a rank agent's periodic work.
inline constexpr time_span tick_interval = std::chrono::milliseconds(20);

/// Sets all intervals and timeouts of a rank agent from its rank and the group's size.
void set_timing(group::group_options& options);

}  // namespace dewbeam::ranks
