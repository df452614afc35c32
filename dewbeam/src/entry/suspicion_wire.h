/// \file
/// Converts suspicions to and from their wire form, in which times are wall-clock times.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/quarantine"
#include "dewbeam/src/entry/pool_table.h"

namespace dewbeam::entry {

/// `now` and `wall_now` are the same moment on the two clocks.
void to_wire(const pool_suspicion& source, time_point now, time_point wall_now,
             wire::Suspicion& out);

quarantine::suspicion from_wire(const wire::Suspicion& source, time_point now, time_point wall_now);

}  // namespace dewbeam::entry
