/// \file
/// The registrar program: upstreams announce themselves to it, operators submit configurations.
///
/// Announcements are soft state: upstreams renew them, and registries merge them with each other.
/// Configurations are entries of a replicated log on disk, and are acknowledged once a majority has
/// synced them.
#pragma once

#include <memory>

#include "dewbeam/program"
#include "dewbeam/src/registrar/control_format.h"

namespace dewbeam::registrar {

/// The settings of the program.
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

    /// Opens the listeners and the data directory.
    absl::Status start();

    /// The callbacks for the program's main loop.
    program::program_hooks hooks();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::registrar
