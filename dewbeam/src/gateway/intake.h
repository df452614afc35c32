/// \file
/// Admits a caller's request and passes it to the broker's queue.
#pragma once

#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

/// Receives a request: finds its route and workspace, and submits it to the pool of its service.
void receive_call(gateway_state& state, http::request&& wanted,
                  const std::shared_ptr<http::exchange>& answer);

/// Routes the held calls that waited for the current configuration.
void release_held_calls(gateway_state& state);

/// Refuses the held calls whose deadline has expired.
void refuse_expired_calls(gateway_state& state, time_point now);

/// Ends all requests in flight with an error, since shutdown can't wait for them any longer.
void fail_all_requests(gateway_state& state, time_point now);

}  // namespace dewbeam::gateway
