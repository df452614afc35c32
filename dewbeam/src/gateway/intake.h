/// \file
/// A caller's request from its arrival to the broker's queue.
#pragma once

#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

/// Takes a request: finds its route and workspace, and gives it to the pool of its service.
void take_call(gateway_state& state, http::request&& wanted,
               const std::shared_ptr<http::exchange>& answer);

}  // namespace dewbeam::gateway
