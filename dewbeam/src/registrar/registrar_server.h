/// \file
/// The registrar program: upstreams announce themselves there, operators send whole configurations.
///
/// Announcements are soft state, renewed by the upstreams, and merged between registries. The
/// configuration is a replicated log on disk; it is acknowledged once a majority has synced it.
#pragma once

#include <memory>

#include "dewbeam/program"
#include "dewbeam/src/registrar/control_format.h"

namespace dewbeam::registrar {

/// Settings of the program.
std::vector<setting> registrar_schema();

/// One registry.
class registrar_server {
public:
    registrar_server(program::program& frame, const nlohmann::json& settings,
                     const control_format& format);
    ~registrar_server();
    registrar_server(const registrar_server&) = delete;
    registrar_server& operator=(const registrar_server&) = delete;
    registrar_server(registrar_server&&) = delete;
    registrar_server& operator=(registrar_server&&) = delete;

    /// Opens the listeners and the data folder.
    absl::Status start();

    /// What the program's frame calls.
    program::program_hooks hooks();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::registrar
