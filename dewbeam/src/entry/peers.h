/// \file
/// The other processes of the site, as an entry talks to them.
#pragma once

#include <string>
#include <vector>

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Link addresses of the other entries that are there.
std::vector<std::string> other_entries(const entry_state& state);

/// Whether a control host sent it.
bool is_from_control(const entry_state& state, const link::peer& from);

/// Another host of a cut-off domain asks for the newest configuration.
void tell_configuration(entry_state& state, const link::peer& from);

}  // namespace dewbeam::entry
