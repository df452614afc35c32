/// \file
/// Sends suspicions, about contents that were running when an upstream crashed, to other entries.
#pragma once

#include <set>
#include <utility>

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// The other entries that were known at the last check: address and incarnation of each process.
using known_entries = std::set<std::pair<std::string, incarnation>>;

/// Sends the suspicions that are new since the last call to the other entries.
void broadcast_suspicions(entry_state& state, time_point now);

/// Sends all suspicions to entries that have started or are reachable again after a partition.
void send_suspicions_to_new_entries(entry_state& state, known_entries& known, time_point now);

}  // namespace dewbeam::entry
