/// \file
/// Serves the lanes of a broker under overload control: by what a delay costs callers.
#pragma once

#include <optional>
#include <vector>

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// A lane whose head can be dispatched or refused now.
struct ready_lane {
    route* m_route = nullptr;
    lane_key m_lane = 0;
    bool m_is_late = false;  ///< from the late queue
};

/// The lanes with such a head, and what the ranking knows of each.
struct ready_lanes {
    std::vector<ready_lane> m_lanes;
    std::vector<overload::candidate> m_heads;
    std::vector<overload::candidate> m_closed_heads;  ///< of lanes that no upstream has room for
};

/// All of them, over all routes. Lets lanes whose floor is due send ahead of the pace of groups.
ready_lanes find_ready_lanes(broker& state, time_point now);

/// The one whose delay costs callers most; `nullopt` if none is ready.
std::optional<std::size_t> choose_lane(const broker& state, const ready_lanes& ready);

/// Records that the head at `served` was dispatched while all others waited.
void note_served(broker& state, ready_lanes ready, std::size_t served);

/// Records that work arrived in the request's lane.
void note_arrival(pending_request& request, time_point now);

/// What waits ahead of a request that joins its lane now.
overload::backlog backlog_of(const broker& state, const pending_request& request, time_point now);

/// Refuses requests that would be dispatched too late to be of use. Called each tick, since work
/// that arrives for lanes of higher priority delays those that wait already.
void shed_late_requests(broker& state, time_point now, random_engine& random, actions& result);

}  // namespace dewbeam::dispatch
