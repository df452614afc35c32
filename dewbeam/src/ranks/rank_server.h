/// \file
/// The rank agent program. It runs beside each rank of a lock-step group and balances the group's
/// expert map. No request passes through it, so no request is lost if it exits.
#pragma once

#include <memory>

#include "dewbeam/program"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// Settings of the program.
std::vector<setting> rank_schema();

/// One rank's agent.
class rank_server {
public:
    rank_server(program::program& frame, const nlohmann::json& settings, const rank_format& format);
    ~rank_server();
    rank_server(const rank_server&) = delete;
    rank_server& operator=(const rank_server&) = delete;
    rank_server(rank_server&&) = delete;
    rank_server& operator=(rank_server&&) = delete;

    /// Opens the link.
    absl::Status start();

    /// Hooks for the program's frame.
    program::program_hooks hooks();

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::ranks
