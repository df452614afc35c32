/// \file
/// The connections that the exchanges of one request have used.
///
/// An answer may name the request that it answers, but not which sending of it. A server that sends
/// a second copy of an answer late would have it taken for the answer to the next sending, if that
/// used the same connection.
#pragma once

#include <algorithm>
#include <cstdint>
#include <mutex>
#include <vector>

namespace dewbeam::http {

/// Number of a connection of this process, never used again.
using connection_number = std::uint64_t;

/// Thread-safe; shared by the exchanges of one request.
class connection_history {
public:
    void add(connection_number used)
    {
        const std::lock_guard lock(m_mutex);
        m_used.push_back(used);
    }

    [[nodiscard]] bool contains(connection_number number) const
    {
        const std::lock_guard lock(m_mutex);
        return std::find(m_used.begin(), m_used.end(), number) != m_used.end();
    }

private:
    mutable std::mutex m_mutex;
    std::vector<connection_number> m_used;
};

}  // namespace dewbeam::http
