/// \file
/// Announced upstreams as registries and gateways exchange them on links.
#pragma once

#include <absl/status/statusor.h>

#include "dewbeam.pb.h"
#include "dewbeam/registry"

namespace dewbeam::registrar {

/// Writes a record; of an ended upstream only name, incarnation, state and sequence number.
void to_wire(const registry::record& from, wire::AnnouncedUpstream& to);

/// Reads an announcement; an error if its address is invalid.
absl::StatusOr<registry::announcement> from_wire(const wire::AnnouncedUpstream& from);

/// Merges a record received from another process into a table. A record with an invalid address is
/// logged and ignored.
registry::merge_result merge(registry::table& state, const wire::AnnouncedUpstream& received,
                             time_point now);

}  // namespace dewbeam::registrar
