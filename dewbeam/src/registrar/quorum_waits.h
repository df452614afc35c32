/// \file
/// Acknowledgements of leaving upstreams that wait until a majority of registries knows the change.
///
/// An upstream that leaves relies on the acknowledgement: from then on it must get no new work.
/// Gateways receive updates from every registry. Once a majority has recorded the change, every
/// gateway that can reach a majority learns it, even if the registry that received the announcement
/// fails right afterwards.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "dewbeam/base"

namespace dewbeam::registrar {

/// One pending acknowledgement.
struct quorum_wait {
    std::size_t m_needed = 0;         ///< number of answers required from other registries
    std::set<std::string> m_from;     ///< addresses of the registries that answered
    std::set<std::string> m_counted;  ///< addresses of the other voters; only their answers count
    time_point m_deadline{};
    std::function<void(bool is_recorded)> m_done;
};

/// All pending acknowledgements, by token.
struct quorum_wait_table {
    std::map<std::uint64_t, quorum_wait> m_quorum_waits;
    std::uint64_t m_last_token = 0;
};

/// Callbacks to run after the caller has released its lock.
using quorum_wait_calls = std::vector<std::function<void()>>;

/// Records that the registry at `from` answered the sync with this token.
void note_answer(quorum_wait_table& table, std::uint64_t token, const std::string& from,
                 quorum_wait_calls& calls);

/// Fails all acknowledgements whose deadline has passed.
void expire(quorum_wait_table& table, time_point now, quorum_wait_calls& calls);

}  // namespace dewbeam::registrar
