/// \file
/// Crash suspects: each runs alone on an upstream that is held for it.
#pragma once

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// Starts the route's waiting suspects whose upstream is empty, and holds upstreams for others.
void serve_suspects(broker& state, route& subject, time_point now, random_engine& random,
                    actions& result);

}  // namespace dewbeam::dispatch
