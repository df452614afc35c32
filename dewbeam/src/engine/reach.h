/// \file
/// Judges by polls of an engine whether it is there.
///
/// An engine on a starved host answers as late as one that is gone. The agent runs on the same
/// host: how late its own timers ran during a poll tells the two apart.
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::engine {

/// How a poll ended.
enum class poll_end {
    answered,
    refused,       ///< no connection, or no readable report
    silent,        ///< nothing came in time
    other_engine,  ///< an engine of another name answers there
};

/// What the polls in a row without an answer amount to.
struct reach {
    std::uint32_t m_doubt = 0;
    bool m_is_lost = false;  ///< nothing may be sent there
};

/// Takes in one poll.
/// \param host_delay by how much a timer of this process ran late at most while the poll was open
void note_poll(reach& state, poll_end end, time_span host_delay);

}  // namespace dewbeam::engine
