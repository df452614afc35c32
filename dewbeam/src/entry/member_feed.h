/// \file
/// From the membership and the configuration to the pools: which upstreams there are, and under
/// which labels.
#pragma once

#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// What the membership calls. `state` must outlive the runner that takes them.
membership_hooks membership_hooks_of(entry_state& state);

/// Shows the pools a member as the table knows it now. Threads may call this at the same time: what
/// the pools see last is the newest.
void update_pools(entry_state& state, const host_id& host, time_point now);

/// Shows the pools all members under the labels of a new configuration.
void configuration_changed(entry_state& state);

}  // namespace dewbeam::entry
