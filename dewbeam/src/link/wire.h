/// \file
/// Conversions between wire messages and the types of the decisions.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/base"
#include "dewbeam/configuration"
#include "dewbeam/http"
#include "dewbeam/ledger"

namespace dewbeam::link {

void to_wire(const attempt_id& id, wire::AttemptId& out);
attempt_id from_wire(const wire::AttemptId& source);

void to_wire(const configuration_version& version, wire::Version& out);
configuration_version from_wire(const wire::Version& source);

/// An outcome that is not set on the wire counts as `unknown`.
wire::Outcome to_wire(ledger::outcome value);
ledger::outcome from_wire(wire::Outcome value);

/// Replaces the fields in `out`.
void to_wire(const http::fields& source, google::protobuf::RepeatedPtrField<wire::Header>& out);
http::fields from_wire(const google::protobuf::RepeatedPtrField<wire::Header>& source);

/// Replaces the labels in `out`.
void to_wire(const configuration::label_set& source,
             google::protobuf::RepeatedPtrField<wire::Label>& out);
configuration::label_set from_wire(const google::protobuf::RepeatedPtrField<wire::Label>& source);

/// Microseconds from `now` until `deadline`; 0 where it has passed.
std::uint64_t remaining_us(time_point deadline, time_point now);

/// The deadline that another process said is `remaining_us` away; `no_deadline` for more than the
/// clock holds.
time_point deadline_after(std::uint64_t remaining_us, time_point now);

}  // namespace dewbeam::link
