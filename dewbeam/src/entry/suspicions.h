/// \file
/// Contents that were running when an upstream died, as entries tell each other of them.
#pragma once

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Tells the other entries of the suspicions that are new since the last call.
void spread_suspicions(entry_state& state, time_point now);

}  // namespace dewbeam::entry
