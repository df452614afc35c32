/// \file
/// The way from a rank's agent to its engine, for orders about the expert map.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "dewbeam/group_map"

namespace dewbeam::group {

/// Called once with the engine's answer, or with an error where none came.
using order_done = std::function<void(const absl::StatusOr<group_map::engine_answer>& answer)>;

/// One engine. An order is an exchange of seconds at most, so a virtual call costs nothing that
/// counts.
class engine_port {
public:
    engine_port() = default;
    virtual ~engine_port() = default;
    engine_port(const engine_port&) = delete;
    engine_port& operator=(const engine_port&) = delete;
    engine_port(engine_port&&) = delete;
    engine_port& operator=(engine_port&&) = delete;

    /// Sends an order.
    virtual void send(const group_map::engine_order& order, order_done done) = 0;

    /// Breaks off what is under way: its connection is closed and its answer no longer waited for.
    virtual void cancel() = 0;
};

}  // namespace dewbeam::group
