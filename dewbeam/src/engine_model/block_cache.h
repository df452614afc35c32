/// \file
/// A prefix cache with limited memory: blocks, the least recently used dropped first.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::engine_model {

/// The cache. The map is only looked up; the order is the list's.
class block_cache {
public:
    /// Sets how many blocks fit; gives the blocks that had to go.
    std::vector<std::uint64_t> set_capacity(std::size_t blocks);

    /// Leading blocks of `prompt` that are held; they become the most recently used.
    std::size_t use_prefix(const std::vector<std::uint64_t>& prompt);

    /// Stores a block; true if it is new.
    bool store(std::uint64_t block);

    /// Drops what is beyond the capacity; gives the blocks that went.
    std::vector<std::uint64_t> trim();

    void clear();

    [[nodiscard]] std::size_t size() const { return m_order.size(); }

private:
    std::size_t m_capacity = 0;
    std::list<std::uint64_t> m_order;  ///< the most recently used first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_places;
};

}  // namespace dewbeam::engine_model
