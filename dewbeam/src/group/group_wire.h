/// \file
/// Conversion of the expert map protocol's messages to and from protobuf.
#pragma once

#include <optional>

#include "dewbeam.pb.h"
#include "dewbeam/group_map"

namespace dewbeam::group {

/// Converts a command that rank `from` sends.
wire::GroupMessage to_wire(const std::string& group, rank_id from,
                           const group_map::command& message);

/// Converts a report.
wire::GroupMessage to_wire(const std::string& group, const group_map::report& message);

/// The command in a message; none if it holds something else or a command of unknown kind.
std::optional<group_map::command> command_from_wire(const wire::GroupMessage& message);

/// The report in a message; none if it holds something else.
std::optional<group_map::report> report_from_wire(const wire::GroupMessage& message);

}  // namespace dewbeam::group
