/// \file
/// Closes lock-step groups that refuse as a whole. Their members' announcements tell when they
/// serve again, or single probe requests find out.
///
/// All ranks of a group stall when one of them exits. A request sent to any of them is refused
/// after a delay, which costs it an attempt and the shared retry budget a retry. Requests that wait
/// instead are served once the group is complete again.
#pragma once

#include <string>

#include "dewbeam/src/dispatch/route_table.h"

namespace dewbeam::dispatch {

/// Closes a group that refused because of one of its ranks, or that makes no progress: it gets no
/// requests for a while, and then one at a time until an upstream of it answers. Returns false if
/// it was closed already.
bool close_group(route_table& table, const route_options& options, const std::string& group,
                 time_point now);

/// Updates what is known of a group after an announcement of a member. A broken group gets nothing,
/// not even probe requests, until a member announces that it has formed again; then it is open.
void update_formation(route_table& table, const route_options& options, const std::string& group,
                      time_point now);

/// Records a dispatch to an upstream. If its group is closed, the next request to the group waits.
void note_group_start(route_table& table, const route_options& options, upstream_index index,
                      time_point now);

/// Reopens the group of an upstream that answered. Returns false if it was not closed.
bool open_group(route_table& table, const route_options& options, upstream_index index,
                time_point now);

}  // namespace dewbeam::dispatch
