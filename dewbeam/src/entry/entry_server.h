/// \file
/// The entry program: accepts callers' requests and dispatches each to an upstream that can serve
/// it.
#pragma once

#include <memory>

#include "dewbeam/program"

namespace dewbeam::entry {

/// Settings of the program.
std::vector<setting> entry_schema();

/// One entry.
class entry_server {
public:
    entry_server(program::program& frame, const nlohmann::json& settings);
    ~entry_server();
    entry_server(const entry_server&) = delete;
    entry_server& operator=(const entry_server&) = delete;
    entry_server(entry_server&&) = delete;
    entry_server& operator=(entry_server&&) = delete;

    /// Opens the listeners.
    absl::Status start();

    /// Hooks for the program's frame. This object must outlive their use.
    program::program_hooks hooks();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::entry
