/// \file
/// Starts and ends the attempts of requests at upstreams, and enforces deadlines.
#pragma once

#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

/// Carries out the decisions of a broker, in order.
void perform(gateway_state& state, const dispatch::actions& wanted, time_point now);

/// Passes the current state of an upstream to the broker of its pool. Thread-safe: with concurrent
/// calls the last state that the broker receives is the newest.
void update_broker(gateway_state& state, const upstream_id& name, time_point now);

/// Removes an upstream that has exited.
void remove_upstream(gateway_state& state, const upstream_id& name, time_point now);

/// Logs a changed rate limit and passes it to the broker. An empty value means that
/// the limit has ended.
void apply_rate_limit(gateway_state& state, const upstream_id& name,
                      const std::optional<double>& limit, time_point now);

/// Ends a request with an error of the gateway itself.
void fail_request(gateway_state& state, const request_pointer& request, const gateway_error& fault,
                  time_point now);

/// Ends a request that can't be completed. `fault` applies if no upstream has run it; otherwise the
/// status is 504 and there is no Retry-After.
void give_up(gateway_state& state, const request_pointer& request, gateway_error fault,
             time_point now);

/// Ends a request whose caller disconnected.
void handle_caller_disconnect(gateway_state& state, const request_pointer& request, time_point now);

/// Checks the deadline and the lateness of one request in flight.
void watch_request(gateway_state& state, const request_pointer& request, time_point now);

}  // namespace dewbeam::gateway
