/// \file
/// One replica of the log as a pure state machine: input and time in, effects out.
///
/// Every decision of the protocol stands here: elections with pre-vote, appends, snapshots, commit,
/// reads, changes of membership and the first start. The host moves bytes: it syncs the writes of a
/// step, reports them back by `persisted`, and only then sends the messages that depend on them.
///
/// How a membership begins: a replica that holds nothing probes the seeds. The seed with the least
/// id founds the log once every other seed has answered its probe as blank; where one is not
/// blank, a log exists and the replica joins it. A replica under a new disk takes the place of its
/// old disk as a learner, in one change that removes the old vote, and a second change promotes it
/// once it holds and has synced everything committed. With `m_wanted_voters` a replica under a new
/// id is let in the same way, so that one that is gone for good is replaced without an operator.
#pragma once

#include <deque>

#include "dewbeam/src/consensus/log.h"

namespace dewbeam::consensus {

/// Limits and spans of a replica.
struct replica_options {
    std::vector<replica_id> m_seeds;  ///< all replicas of the first membership, own id too
    time_span m_election_span = std::chrono::milliseconds(300);  ///< deadlines: 1 to 2 times this
    time_span m_heartbeat_span = std::chrono::milliseconds(50);
    std::size_t m_most_append_entries = 512;
    std::size_t m_most_append_bytes = 1U << 20U;
    std::uint64_t m_most_unacknowledged = 8'192;  ///< entries in flight to one replica
    kept_log m_kept;                              ///< left behind a snapshot for slow replicas

    bool m_may_found = true;  ///< false: a log exists somewhere, so a blank replica only joins it
    /// Voters that the leader keeps by itself: replicas that ask are let in as learners and
    /// promoted while fewer voters are alive, and dead voters beyond this number are dropped. 0:
    /// members change by `member_change` alone.
    std::size_t m_wanted_voters = 0;
    /// A voter that was not heard for so long is dead. Longer than a restart takes to elect a
    /// leader and to answer it; shorter than the time until the next loss must be borne.
    time_span m_dead_after = std::chrono::seconds(2);

    // Mechanisms that tests switch off to see the proofs fail; always on in the programs.
    bool m_pre_vote = true;
    bool m_check_quorum = true;
    bool m_identify_disks = true;   ///< a vote counts only under the member's disk
    bool m_commit_own_term = true;  ///< a leader commits by counting only entries of its term
    bool m_count_synced = true;     ///< the leader's own copy counts once it is synced
};

/// What a replica is at present.
enum class role { follower, pre_candidate, candidate, leader };

/// What the leader knows of another member.
struct peer_progress {
    member m_member;
    std::uint64_t m_match = 0;  ///< synced there
    std::uint64_t m_next = 1;   ///< sent next
    std::uint64_t m_round = 0;  ///< newest read round that it answered
    time_point m_heard_until{};
    time_point m_snapshot_until{};  ///< a snapshot is on its way until then
};

/// A read that waits for a majority to confirm the leader.
struct pending_read {
    std::uint64_t m_token = 0;
    replica_id m_origin;
    std::uint64_t m_index = 0;
    std::uint64_t m_round = 0;  ///< 0: waits for the first commit of the term
};

/// Writes that are not known to be synced.
struct pending_batch {
    std::uint64_t m_batch = 0;
    std::uint64_t m_last_index = 0;
};

/// A replica. Make one by `make_replica`; change it by `step` alone.
struct replica {
    replica_options m_options;
    identity m_self;
    hard_state m_hard;
    log m_log;

    role m_role = role::follower;
    std::optional<replica_id> m_leader;
    std::uint64_t m_commit = 0;
    std::uint64_t m_applied = 0;  ///< handed to the host
    std::uint64_t m_durable = 0;  ///< last index that is known to be synced
    std::uint64_t m_batch = 0;
    std::deque<pending_batch> m_pending;
    time_point m_election_at{};
    time_point m_leader_until{};  ///< no vote for others before it: a leader was heard

    std::vector<identity> m_votes;
    std::uint64_t m_own_vote_batch = 0;

    std::vector<peer_progress> m_peers;
    std::uint64_t m_term_start = 0;  ///< index of the no-op of the leader's term
    time_point m_heartbeat_at{};
    std::uint64_t m_round = 0;
    std::vector<pending_read> m_reads;
    time_point m_transfer_until{};  ///< proposals are refused before it
    std::optional<replica_id> m_transfer_to;

    std::uint64_t m_nonce = 0;
    std::vector<identity> m_blank;    ///< seeds that answered as blank
    std::vector<replica_id> m_known;  ///< asked beside the seeds
    time_point m_probe_at{};
};

/// What a disk held at start.
struct recovered_state {
    hard_state m_hard;
    std::shared_ptr<const snapshot> m_snapshot;
    position m_log_base;
    std::vector<entry> m_entries;
};

/// Carries the writes of one step out on what a disk holds.
void apply(recovered_state& disk, const writes& item);

/// A replica at start, from what its disk holds. `m_applied` is the snapshot's index.
replica make_replica(const replica_options& options, identity self, recovered_state disk,
                     time_point now, random_engine& random);

/// Reacts to one event.
effects step(replica& self, const input& event, time_point now, random_engine& random);

/// Whether the replica is a voter of the newest membership that it knows.
bool is_voter(const replica& self);

/// Whether the replica holds nothing at all.
bool is_blank(const replica& self);

/// Whether this leader heard from a majority lately, or this follower from its leader.
bool has_quorum(const replica& self, time_point now);

}  // namespace dewbeam::consensus
