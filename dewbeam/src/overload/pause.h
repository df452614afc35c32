/// \file
/// Which pauses between the events of a stream tell of an engine's load.
#pragma once

#include "dewbeam/base"

namespace dewbeam::overload {

/// Whether a pause tells of the load of its engine; false where streams have no objective.
inline bool shows_load(time_span pause, time_span objective)
{
    // A pause of more objectives is an outage or a stall.
    constexpr int max_objectives = 4;
    return objective > time_span::zero() && pause <= objective * max_objectives;
}

}  // namespace dewbeam::overload
