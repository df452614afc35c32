/// \file
/// The attempts of requests at upstreams: begun, ended, given up, and watched for their deadlines.
#pragma once

#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

/// Carries out what a broker decided, in its order.
void perform(gateway_state& state, const dispatch::actions& wanted, time_point now);

/// Ends a request with an own error.
void fail_request(gateway_state& state, const request_pointer& request, const own_error& fault,
                  time_point now);

/// The caller of a request went away.
void caller_gone(gateway_state& state, const request_pointer& request, time_point now);

/// Deadlines of one request in flight.
void watch_request(gateway_state& state, const request_pointer& request, time_point now);

}  // namespace dewbeam::gateway
