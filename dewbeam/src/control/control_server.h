/// \file
/// The control program: accepts configuration changes and spreads what was accepted.
#pragma once

#include <memory>

#include "dewbeam/program"

namespace dewbeam::control {

/// Settings of the program.
std::vector<setting> control_schema();

/// One control host.
class control_server {
public:
    control_server(program::program& frame, const nlohmann::json& settings);
    ~control_server();
    control_server(const control_server&) = delete;
    control_server& operator=(const control_server&) = delete;
    control_server(control_server&&) = delete;
    control_server& operator=(control_server&&) = delete;

    /// Opens the listeners.
    absl::Status start();

    /// What the program's frame calls.
    program::program_hooks hooks();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::control
