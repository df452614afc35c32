/// \file
/// Permits for upstreams that limit their request rate. Each request sent there consumes one.
#pragma once

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// Whether the upstream limits its rate and there is no unexpired permit for it.
bool lacks_permit(const upstream_state& upstream, time_point now);

/// Drops expired permits and consumes the one that expires first.
void use_permit(upstream_state& upstream, time_point now);

/// Lower bound on the wait of a new request for a permit, reached if no other entry requests any.
/// Zero if an available upstream of the route has no rate limit.
time_span min_permit_wait(const broker& state, const route& subject, time_point now);

}  // namespace dewbeam::dispatch
