/// \file
/// The ranks of a group and one rank's place among them, derived from upstream announcements.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam/registry"
#include "dewbeam/src/ranks/rank_format.h"

namespace dewbeam::ranks {

/// A rank and the others of its group.
struct group_layout {
    std::string m_group;
    std::vector<std::string> m_members;  ///< link addresses of the ranks' agents, by rank
    std::vector<endpoint> m_engines;     ///< addresses of the engines, by rank
    rank_id m_rank;

    friend bool operator==(const group_layout&, const group_layout&) = default;
};

/// The layout for the rank that sent `report`; none until the addresses of all ranks are known.
/// Each rank's agent listens at `link_port` on its engine's host. If two upstreams announced the
/// same rank, the one of the later formation is used.
std::optional<group_layout> find_layout(
    const rank_report& report, const std::map<upstream_id, registry::announcement>& announced,
    std::uint16_t link_port);

}  // namespace dewbeam::ranks
