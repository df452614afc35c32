/// \file
/// The requests in flight of an entry, sharded and indexed by ticket and by attempt.
#pragma once

#include <atomic>
#include <unordered_map>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/entry/entry_request.h"

namespace dewbeam::entry {

/// Index of the requests in flight. Thread-safe; each shard has its own lock.
class request_table {
public:
    void add(const request_pointer& request);
    void remove(const request_pointer& request);

    [[nodiscard]] request_pointer find(dispatch::ticket id);
    [[nodiscard]] request_pointer find(const attempt_id& id);

    /// Adds an attempt to the index.
    void add_attempt(const attempt_id& id, const request_pointer& request);
    void remove_attempt(const attempt_id& id);

    /// All requests, in no order.
    [[nodiscard]] std::vector<request_pointer> all();

    [[nodiscard]] std::size_t size() const { return m_size; }

private:
    using by_number = std::unordered_map<std::uint64_t, request_pointer>;

    sharded<by_number> m_requests;
    sharded<by_number> m_attempts;
    std::atomic<std::size_t> m_size = 0;
};

}  // namespace dewbeam::entry
