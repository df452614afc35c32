/// \file
/// From a caller's HTTP request to a request in flight: read, classified, claimed, and given to its
/// pool.
#pragma once

#include <memory>

#include "dewbeam/src/entry/entry_request.h"
#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Takes a request that is not for one of the entry's own pages.
void take_call(entry_state& state, http::request&& request,
               const std::shared_ptr<http::exchange>& answer);

/// The agent knows a newer configuration, which this entry has adopted by now: the request is
/// classified anew under it, unless the caller has part of the answer.
void resubmit(entry_state& state, const request_pointer& request, const attempt_id& id,
              time_point now);

}  // namespace dewbeam::entry
