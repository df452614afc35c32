/// \file
/// Turns a caller's HTTP request into a request in flight: parses, classifies and claims it, and
/// submits it to its pool.
#pragma once

#include <memory>

#include "dewbeam/src/entry/entry_request.h"
#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Handles a request that is not for one of the entry's own pages.
void receive_call(entry_state& state, http::request&& request,
                  const std::shared_ptr<http::exchange>& answer);

/// Classifies a request again after its agent refused it for a stale configuration; this entry has
/// adopted the newer one by now. If the caller already has part of the answer, the attempt ends as
/// refused instead.
void resubmit(entry_state& state, const request_pointer& request, const attempt_id& id,
              time_point now);

}  // namespace dewbeam::entry
