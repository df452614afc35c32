/// \file
/// The agent program: the only gate to one upstream.
#pragma once

#include <memory>

#include "dewbeam/program"

namespace dewbeam::agent {

/// Settings of the program.
std::vector<setting> agent_schema();

/// One agent before one engine or plain service.
class agent_server {
public:
    agent_server(program::program& frame, const nlohmann::json& settings);
    ~agent_server();
    agent_server(const agent_server&) = delete;
    agent_server& operator=(const agent_server&) = delete;
    agent_server(agent_server&&) = delete;
    agent_server& operator=(agent_server&&) = delete;

    /// Opens the listeners.
    absl::Status start();

    /// What the program's frame calls.
    program::program_hooks hooks();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::agent
