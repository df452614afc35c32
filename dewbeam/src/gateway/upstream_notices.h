/// \file
/// Acts on what upstreams say of themselves in the heads of their answers: that they want no
/// requests from this gateway for a while, or that they are about to exit.
#pragma once

#include <string>

#include "dewbeam/src/gateway/gateway_request.h"
#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

/// Records, logs and counts the notice in an answer's head, if there is one, and closes the
/// upstream to new requests. It counts whatever became of the request meanwhile.
void apply_notice(gateway_state& state, const gateway_request::facts& known,
                  const sent_attempt& sent, const answer_head& answer, time_point now);

/// The upstreams of a pool that notices close now, for the log: `NAME:leaving` or
/// `NAME:MILLISECONDS`, separated by commas, at most eight.
std::string name_closed_by_notices(const gateway_state& state, const std::string& pool,
                                   time_point now);

}  // namespace dewbeam::gateway
