/// \file
/// The gateway program: forwards callers' requests to upstreams that announce themselves.
#pragma once

#include <memory>

#include "dewbeam/program"
#include "dewbeam/src/gateway/wire_format.h"

namespace dewbeam::gateway {

/// Settings of the program.
std::vector<setting> gateway_schema();

/// One gateway.
class gateway_server {
public:
    gateway_server(program::program& frame, const nlohmann::json& settings,
                   const wire_format& format);
    ~gateway_server();
    gateway_server(const gateway_server&) = delete;
    gateway_server& operator=(const gateway_server&) = delete;
    gateway_server(gateway_server&&) = delete;
    gateway_server& operator=(gateway_server&&) = delete;

    /// Opens the listeners.
    absl::Status start();

    /// The callbacks for the program's frame.
    program::program_hooks hooks();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::gateway
