/// \file
/// How requests end: refused before they began, failed, or finished.
///
/// The end is counted, logged, and told to control where the request held a claim.
#pragma once

#include "dewbeam/src/entry/entry_request.h"
#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Refuses what never became a request in flight.
void refuse_unread(entry_state& state, const caller::error& fault, const std::string& request_id,
                   http::exchange& answer);

/// Tells control how a claimed request ended, so that a resend can be answered.
void report_claim(entry_state& state, const request_claim& claim, const request_result& result,
                  time_point now);

/// Ends a request with an error.
void fail_request(entry_state& state, const request_pointer& request, const caller::error& fault,
                  time_point now);

/// Counts and logs a request that was answered, and forgets it.
void finish_request(entry_state& state, const request_pointer& request, time_point now);

}  // namespace dewbeam::entry
