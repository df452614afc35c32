/// \file
/// The attempts of requests at upstreams: begun, ended, given up, and watched for their deadlines.
#pragma once

#include "dewbeam/src/gateway/gateway_state.h"

namespace dewbeam::gateway {

/// Carries out what a broker decided, in its order.
void perform(gateway_state& state, const dispatch::actions& wanted, time_point now);

/// Passes the current state of an upstream to the broker of its pool. Threads may call this at the
/// same time: what the broker sees last is the newest.
void update_broker(gateway_state& state, const upstream_id& name, time_point now);

/// Forgets an upstream that is gone.
void remove_upstream(gateway_state& state, const upstream_id& name, time_point now);

/// Logs a changed rate limit and passes it to the broker. Without a value the limit has ended.
void apply_rate_limit(gateway_state& state, const upstream_id& name,
                      const std::optional<double>& limit, time_point now);

/// Ends a request with an own error.
void fail_request(gateway_state& state, const request_pointer& request, const own_error& fault,
                  time_point now);

/// Ends a request that can't be finished: `fault` is for one that no upstream has run.
void give_up(gateway_state& state, const request_pointer& request, own_error fault, time_point now);

/// The caller of a request went away.
void caller_gone(gateway_state& state, const request_pointer& request, time_point now);

/// Deadlines of one request in flight.
void watch_request(gateway_state& state, const request_pointer& request, time_point now);

}  // namespace dewbeam::gateway
