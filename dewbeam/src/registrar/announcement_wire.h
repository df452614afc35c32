/// \file
/// Announced upstreams as registries and gateways exchange them on links.
#pragma once

#include <absl/status/statusor.h>

#include "dewbeam.pb.h"
#include "dewbeam/registry"

namespace dewbeam::registrar {

/// A record with what its registry knows of it.
void to_wire(const registry::record& from, wire::AnnouncedUpstream& to);

/// An announcement; an error where its address is none.
absl::StatusOr<registry::announcement> from_wire(const wire::AnnouncedUpstream& from);

/// Takes a record of another process into a table.
registry::merge_result merge(registry::table& state, const wire::AnnouncedUpstream& heard,
                             time_point now);

}  // namespace dewbeam::registrar
