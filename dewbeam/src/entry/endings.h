/// \file
/// Ends requests: refused before they started, failed, or finished.
///
/// Each end is counted and logged, and reported to control if the request held a claim.
#pragma once

#include "dewbeam/src/entry/entry_request.h"
#include "dewbeam/src/entry/entry_state.h"

namespace dewbeam::entry {

/// Answers with an error a request that never became one in flight.
void respond_with_refusal(entry_state& state, const caller::error& fault,
                          const std::string& request_id, http::exchange& answer);

/// Reports to control how a claimed request ended, so that a resend with the same key can be
/// answered.
void report_claim(entry_state& state, const request_claim& claim, const request_result& result,
                  time_point now);

/// Ends a request with an error.
void fail_request(entry_state& state, const request_pointer& request, const caller::error& fault,
                  time_point now);

/// Counts and logs a request that was answered, and removes it from the requests in flight.
void finish_request(entry_state& state, const request_pointer& request, time_point now);

}  // namespace dewbeam::entry
