/// \file
/// Between the log's plain structs and their protobuf form, for links and for files.
///
/// Decoders take any bytes: what doesn't fit is an error, never a stop.
#pragma once

#include <absl/status/statusor.h>

#include <string>

#include "dewbeam.pb.h"
#include "dewbeam/consensus"

namespace dewbeam::control {

/// One message of the log.
wire::ConsensusMessage to_wire(const consensus::message& from);
absl::StatusOr<consensus::message> from_wire(const wire::ConsensusMessage& from);

/// One entry of the log.
wire::LogEntry to_wire(const consensus::entry& from);
absl::StatusOr<consensus::entry> from_wire(const wire::LogEntry& from);

/// A snapshot with its position and members.
wire::LogSnapshot to_wire(const consensus::snapshot& from);
consensus::snapshot from_wire(const wire::LogSnapshot& from);

/// Term and vote.
wire::LogHardState to_wire(const consensus::hard_state& from);
consensus::hard_state from_wire(const wire::LogHardState& from);

/// A command as the payload of an entry.
std::string encode(const consensus::command& from);
absl::StatusOr<consensus::command> decode_command(std::string_view bytes);

/// The whole state machine for a snapshot; equal states give equal bytes.
std::string encode(const consensus::replicated_state& from);
absl::StatusOr<consensus::replicated_state> decode_state(std::string_view bytes);

}  // namespace dewbeam::control
