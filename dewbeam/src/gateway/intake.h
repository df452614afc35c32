/// \file
/// A caller's request from its arrival to the broker's queue.
#pragma once

#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

/// Takes a request: finds its route and workspace, and gives it to the pool of its service.
void take_call(gateway_state& state, http::request&& wanted,
               const std::shared_ptr<http::exchange>& answer);

/// Goes on with the calls that waited for this configuration.
void release_held_calls(gateway_state& state);

/// Refuses the calls that have waited too long for it.
void refuse_lapsed_calls(gateway_state& state, time_point now);

/// Answers all requests in flight, which a stop can't wait for.
void give_up_all(gateway_state& state, time_point now);

}  // namespace dewbeam::gateway
