/// \file
/// Orders to an engine about its expert map, as JSON: `POST /orders`.
///
/// An order: `{"kind": "hold", "fencing": 7, "map": {"number": 3, "content": 5}, "step": 120}`;
/// `stage` also has `"weights"`, the map itself as text. The answer:
/// `{"fencing": 7, "accepted": true, "highest": 7, "state": {...}}`.
#pragma once

#include <absl/status/statusor.h>

#include <string>

#include "dewbeam/group_map"

namespace dewbeam::engine {

/// The body of an order's request.
std::string order_to_json(const group_map::engine_order& order);

/// Reads an order; an error names what is wrong.
absl::StatusOr<group_map::engine_order> order_from_json(const std::string& body);

/// The body of an answer.
std::string answer_to_json(const group_map::engine_answer& answer);

/// Reads an answer; an error names what is wrong.
absl::StatusOr<group_map::engine_answer> answer_from_json(const std::string& body);

}  // namespace dewbeam::engine
