/// \file
/// What arrives on an entry's link, brought to the module that it is for.
#pragma once

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Takes a message.
void on_message(entry_state& state, const link::peer& from, wire::Envelope&& message);

/// The link to a process was lost.
void on_lost(entry_state& state, const std::vector<link::peer>& gone);

}  // namespace dewbeam::entry
