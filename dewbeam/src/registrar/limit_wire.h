/// \file
/// Wire conversion of the rate limits and permit demands that gateways and registries exchange.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/permits"

namespace dewbeam::registrar {

/// Writes the age of the limit instead of a timestamp, since clocks differ between hosts.
void to_wire(const permits::rate_limit& limit, time_point now, wire::UpstreamLimit& to);

permits::rate_limit from_wire(const wire::UpstreamLimit& from, time_point now);

/// Applies the limits and demands of a gateway's watch.
/// \returns the limits that changed
std::vector<permits::rate_limit> take_watch(permits::issuer& state,
                                            const permits::holder_id& holder,
                                            const wire::Watch& watch, time_point now);

/// Adds all known limits to `news`.
void put_limits(const permits::issuer& state, time_point now, wire::WatchNews& news);

}  // namespace dewbeam::registrar
