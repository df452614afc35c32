/// \file
/// Interface through which a rank's agent sends its engine orders about the expert map.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

#include "dewbeam/group_map"

namespace dewbeam::group {

/// Called once with the engine's answer, or with an error if there was none.
using order_done = std::function<void(const absl::StatusOr<group_map::engine_answer>& answer)>;

/// One engine. An order takes up to seconds, so the cost of a virtual call doesn't matter.
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

    /// Cancels the order in progress: closes its connection and no longer waits for its answer.
    virtual void cancel() = 0;
};

}  // namespace dewbeam::group
