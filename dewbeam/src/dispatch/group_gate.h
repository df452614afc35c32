/// \file
/// Lock-step groups that refuse as a whole: one request at a time tells when they serve again.
///
/// All ranks of a group stand still when one is gone. A request that is sent to any of them comes
/// back refused, later, with one attempt less and a retry of the shared budget spent. Requests that
/// wait instead are served when the group is whole again.
#pragma once

#include <string>

#include "dewbeam/src/dispatch/route_table.h"

namespace dewbeam::dispatch {

/// A group refused, by the fault of one of its ranks: nothing goes there for a while, and then one
/// request at a time until one of them gets its first token. False where it was closed before.
bool close_group(route_table& table, const route_options& options, const std::string& group,
                 time_point now);

/// A request was sent to an upstream: the next one to its group waits, where the group is closed.
void note_group_start(route_table& table, const route_options& options, upstream_index index,
                      time_point now);

/// An upstream answered: its group serves. False where it was not closed.
bool open_group(route_table& table, const route_options& options, upstream_index index,
                time_point now);

}  // namespace dewbeam::dispatch
