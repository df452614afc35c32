/// \file
/// Serving what waits: whose turn it is, and what becomes of it.
#pragma once

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// Serves everything that can go now.
void pump(broker& state, time_point now, random_engine& random, actions& result);

/// Before a request joins a lane: one that was idle starts level with the least served one, so
/// that idleness earns nothing.
void catch_up(const broker& state, pending_request& request);

}  // namespace dewbeam::dispatch
