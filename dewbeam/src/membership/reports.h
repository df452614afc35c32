/// \file
/// Who reads an agent's load reports. Reports go straight from an agent to the entries that use
/// it, never through gossip.
#pragma once

#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/membership/view.h"

namespace dewbeam::membership {

/// An entry that wants an agent's reports until a deadline.
struct report_reader {
    std::string m_address;
    time_point m_deadline{};
};

/// The readers of one agent.
struct report_readers {
    std::vector<report_reader> m_readers;  ///< by address
    std::size_t m_most = 64;               ///< more than these are refused
};

/// Adds a reader or renews it; false where there are too many.
bool subscribe(report_readers& state, const std::string& address, time_point deadline,
               time_point now);

/// Addresses that a report goes to at `now`; those whose deadline passed are dropped.
std::vector<std::string> readers_at(report_readers& state, time_point now);

/// The agents that this entry uses: of each model, and of plain services, the `size` that come
/// first by rendezvous hashing in its own failure domain. The same view gives the same subset.
std::vector<host_id> choose_upstreams(const view& state, std::size_t size);

}  // namespace dewbeam::membership
