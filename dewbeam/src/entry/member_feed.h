/// \file
/// Updates the pools from the membership and the configuration: which upstreams exist, and with
/// which labels.
#pragma once

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// The hooks that the membership runner calls. `state` must outlive the runner.
membership_hooks membership_hooks_of(entry_state& state);

/// Updates the pools with the current table entry of a member. Thread-safe: concurrent calls leave
/// the newest state in the pools.
void update_pools(entry_state& state, const host_id& host, time_point now);

/// Updates the pools with all members and their labels under a new configuration.
void configuration_changed(entry_state& state);

}  // namespace dewbeam::entry
