/// \file
/// The log of one replica in memory, behind its last snapshot.
#pragma once

#include <deque>

#include "dewbeam/src/consensus/types.h"

namespace dewbeam::consensus {

/// A membership and the index of the entry that brought it.
struct membership_at {
    std::uint64_t m_index = 0;
    membership m_members;
};

/// The log. Entries stand without gaps after `m_base`.
struct log {
    std::shared_ptr<const snapshot> m_snapshot;  ///< null before the first
    position m_base;                             ///< at or before the snapshot's position
    std::deque<entry> m_entries;
    std::vector<membership_at> m_memberships;  ///< the first is in force at the base
};

/// Position of the last entry.
position last(const log& state);

/// Term of the entry at `index`; none where the log doesn't hold it (any more).
std::optional<std::uint64_t> term_at(const log& state, std::uint64_t index);

/// The entry at `index`, which the log must hold.
const entry& entry_at(const log& state, std::uint64_t index);

/// The newest membership and where it came from; empty before the first.
const membership_at& newest_membership(const log& state);

/// The membership in force at `index`.
const membership& membership_in_force(const log& state, std::uint64_t index);

/// Adds the next entry.
void append(log& state, entry item);

/// Drops the entry at `index` and all later ones.
void truncate_from(log& state, std::uint64_t index);

/// What is left of the log behind a snapshot, for replicas that are a little slow; one that needs
/// more gets the snapshot.
struct kept_log {
    std::uint64_t m_entries = 1'024;
    byte_count m_bytes{64L * 1024 * 1024};
};

/// Takes a snapshot of the own state machine and drops the entries up to it but for the newest,
/// within both limits of `kept`.
void compact(log& state, std::shared_ptr<const snapshot> taken, const kept_log& kept);

/// Replaces everything by a snapshot.
void reset(log& state, std::shared_ptr<const snapshot> received);

/// The member of that replica id, or null.
const member* find_member(const membership& members, replica_id id);

/// Number of voters.
std::size_t count_voters(const membership& members);

}  // namespace dewbeam::consensus
