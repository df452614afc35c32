/// \file
/// Passes the messages that arrive on an entry's link to the modules that handle them.
#pragma once

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Handles a message.
void on_message(entry_state& state, const link::peer& from, wire::Envelope&& message);

/// Handles the loss of the links to some processes.
void on_lost(entry_state& state, const std::vector<link::peer>& gone);

}  // namespace dewbeam::entry
