/// \file
/// The expert map protocol on the wire: between its structs and protobuf.
#pragma once

#include <optional>

#include "dewbeam.pb.h"
#include "dewbeam/group_map"

namespace dewbeam::group {

/// A command of `from` to the rank that it names.
wire::GroupMessage to_wire(const std::string& group, rank_id from,
                           const group_map::command& message);

/// A report to the rank that it names.
wire::GroupMessage to_wire(const std::string& group, const group_map::report& message);

/// The command in a message; none where it holds something else, or a kind that is not known.
std::optional<group_map::command> command_from_wire(const wire::GroupMessage& message);

/// The report in a message; none where it holds something else.
std::optional<group_map::report> report_from_wire(const wire::GroupMessage& message);

}  // namespace dewbeam::group
