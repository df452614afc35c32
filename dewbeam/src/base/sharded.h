/// \file
/// State in shards, each under its own lock.
#pragma once

#include <array>
#include <cstdint>
#include <mutex>

namespace dewbeam {

/// `Count` copies of `State`, each behind its own mutex.
///
/// A key hashes to its shard; the state is reachable only while that shard's lock is held.
///
/// \code
/// sharded<table> tables;
/// tables.with(key_hash, [&](table& t) { t.insert(value); });
/// \endcode
template <class State, std::size_t Count = 16>
class sharded {
public:
    /// Calls `action` with the shard of `key_hash`, its lock held; gives the action's result.
    template <class Action>
    decltype(auto) with(std::uint64_t key_hash, Action&& action)
    {
        auto& shard = m_shards[key_hash % Count];
        const std::lock_guard lock(shard.m_mutex);
        return action(shard.m_state);
    }

    /// Calls `action` with each shard in turn, one lock held at a time.
    template <class Action>
    void for_each(Action&& action)
    {
        for (auto& shard : m_shards) {
            const std::lock_guard lock(shard.m_mutex);
            action(shard.m_state);
        }
    }

private:
    struct alignas(64) cell {
        std::mutex m_mutex;
        State m_state;
    };
    std::array<cell, Count> m_shards;
};

}  // namespace dewbeam
