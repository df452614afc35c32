/// \file
/// Crash suspects: each runs in isolation on an upstream that is held for it, or under an exclusive
/// grant.
#pragma once

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// Starts the route's waiting suspects whose upstream is empty, and holds upstreams for others.
/// With exclusive grants: moves those that may run to the queues of other requests.
void serve_suspects(broker& state, route& subject, time_point now, random_engine& random,
                    actions& result);

}  // namespace dewbeam::dispatch
