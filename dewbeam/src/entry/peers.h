/// \file
/// The other entries and control hosts that an entry communicates with.
#pragma once

#include <string>
#include <vector>

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Link addresses of the other entries that are not considered dead.
std::vector<std::string> other_entries(const entry_state& state);

/// Whether the peer is a control host.
bool is_from_control(const entry_state& state, const link::peer& from);

/// Sends the newest known configuration to another host of a cut-off domain that requested it.
void send_configuration(entry_state& state, const link::peer& from);

}  // namespace dewbeam::entry
