/// \file
/// How fast the agents of a lock-step group act on each other and on their engines.
#pragma once

#include "dewbeam/src/group/group_runner.h"

namespace dewbeam::ranks {

/// How often a rank agent acts by itself.
inline constexpr time_span tick_interval = std::chrono::milliseconds(20);

/// Sets all spans of a rank agent's part in its group, from its rank and the group's size.
void set_timing(group::group_options& options);

}  // namespace dewbeam::ranks
