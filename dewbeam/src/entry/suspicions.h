/// \file
/// Contents that were running when an upstream died, as entries tell each other of them.
#pragma once

#include <set>
#include <utility>

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// The other entries that were there at the last look, each process by its incarnation.
using known_entries = std::set<std::pair<std::string, incarnation>>;

/// Tells the other entries of the suspicions that are new since the last call.
void spread_suspicions(entry_state& state, time_point now);

/// Tells all suspicions to entries that have started, or are there again after a cut.
void tell_new_entries(entry_state& state, known_entries& known, time_point now);

}  // namespace dewbeam::entry
