/// \file
/// Serves waiting requests: selects the next one, and dispatches or refuses it.
#pragma once

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// Dispatches or refuses every waiting request that can be handled now.
void serve_eligible(broker& state, time_point now, random_engine& random, actions& result);

/// Must be called before a request joins a lane. A lane that was idle starts level with the least
/// served one, so that it gains no credit from being idle.
void catch_up(const broker& state, pending_request& request);

}  // namespace dewbeam::dispatch
