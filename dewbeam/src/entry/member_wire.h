/// \file
/// Converts members and membership messages to and from their wire form.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/base"
#include "dewbeam/membership"

namespace dewbeam::entry {

/// The announcement of a member, without its load report.
wire::Announcement to_wire(const membership::member& item, time_point now);

/// A member as announced. Wire times are relative to `now`. Text and numbers are not validated.
membership::member from_wire(const wire::Announcement& source, time_point now);

/// A load report, which is sent directly to the entries that requested it.
wire::EngineReport to_wire(const membership::member_load& load, time_point now);

/// A load report as received.
membership::member_load from_wire(const wire::EngineReport& source, time_point now);

/// The body of a membership message. Its sender is in the envelope.
wire::Gossip to_wire(const membership::gossip& message, time_point now);

/// A membership message from `sender`.
membership::gossip from_wire(const wire::Gossip& source, const host_id& sender, time_point now);

}  // namespace dewbeam::entry
