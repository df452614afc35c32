/// \file
/// What replicas of the log exchange and what they ask of their host.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::consensus {

/// Number of a replica in the settings of the deployment.
using replica_id = strong<struct replica_tag, std::uint64_t>;
/// Identity of a data folder, drawn when the folder is made. A later folder of the same replica has
/// a greater number.
using disk_id = strong<struct disk_tag, std::uint64_t>;

/// A replica on one disk. A replica that lost its disk has another identity, so that it can't vote
/// under the old one.
struct identity {
    replica_id m_id;
    disk_id m_disk;

    friend auto operator<=>(const identity&, const identity&) = default;
};

/// Place of an entry. The log that ends at the greater position is the more up to date.
struct position {
    std::uint64_t m_term = 0;
    std::uint64_t m_index = 0;  ///< from 1; 0 stands before the first entry

    friend auto operator<=>(const position&, const position&) = default;
};

/// A replica that receives the log.
struct member {
    identity m_identity;
    bool m_votes = false;  ///< false: a learner, which counts for no majority

    friend bool operator==(const member&, const member&) = default;
};

/// All members, sorted by replica id, one a replica id.
using membership = std::vector<member>;

/// What an entry holds.
enum class entry_kind : std::uint8_t {
    no_op,    ///< first entry of a leader's term
    command,  ///< for the state machine
    members,  ///< in force from the moment it is in the log
};

/// One entry of the log.
struct entry {
    position m_position;
    entry_kind m_kind = entry_kind::no_op;
    std::string m_payload;  ///< of a command
    membership m_members;   ///< of a membership entry

    friend bool operator==(const entry&, const entry&) = default;
};

/// The state machine after the entry at `m_position`.
struct snapshot {
    position m_position;
    membership m_members;
    std::string m_state;

    friend bool operator==(const snapshot&, const snapshot&) = default;
};

/// What a replica must not forget besides its log.
struct hard_state {
    std::uint64_t m_term = 0;
    std::optional<identity> m_vote;
    std::uint64_t m_commit = 0;  ///< known as committed; a replica that restarts alone applies it
    log_id m_log;  ///< from the founder; 0: none yet, or a log that was founded without one

    friend bool operator==(const hard_state&, const hard_state&) = default;
};

/// What a message is.
enum class message_kind : std::uint8_t {
    probe,           ///< from a replica that is no member: who am I to you?
    blank,           ///< answer of a replica that holds nothing
    pre_vote,        ///< would you vote for me?
    pre_vote_reply,  ///<
    vote,            ///< asks for a vote
    vote_reply,      ///<
    append,          ///< entries, commit index and heartbeat
    append_reply,    ///< granted: `m_hint` is the synced match; else where to go on
    install,         ///< a snapshot, for a replica whose next entry is gone from the leader's log
    forward,         ///< proposals for the leader
    read,            ///< asks the leader for a read index
    read_reply,      ///<
    campaign_now,    ///< the leader hands over
};

/// One message between two replicas.
struct message {
    message_kind m_kind = message_kind::append;
    identity m_from;
    replica_id m_to;
    log_id m_log;  ///< the sender's
    std::uint64_t m_term = 0;
    position m_previous;  ///< of appends: the entry before; of vote requests: the last entry
    std::uint64_t m_commit = 0;
    bool m_granted = false;
    bool m_forced = false;  ///< of vote requests: the leader itself asked for the election
    std::uint64_t m_hint = 0;
    std::uint64_t m_round = 0;  ///< read round of appends; token of reads; nonce of probes
    std::vector<entry> m_entries;
    std::shared_ptr<const snapshot> m_snapshot;
};

/// Writes that one step asks for, in this order: snapshot, truncation, entries, hard state.
struct writes {
    std::shared_ptr<const snapshot> m_snapshot;
    bool m_resets_log = false;                     ///< the snapshot replaces the whole log
    position m_log_base;                           ///< of a snapshot: the log begins after it
    std::optional<std::uint64_t> m_truncate_from;  ///< drop this index and all later ones
    std::vector<entry> m_entries;
    std::optional<hard_state> m_hard_state;

    [[nodiscard]] bool empty() const
    {
        return !m_snapshot && !m_truncate_from && m_entries.empty() && !m_hard_state;
    }
};

/// Answer to a read.
struct read_result {
    std::uint64_t m_token = 0;
    bool m_granted = false;     ///< false: no leader is known, or it lost its majority
    std::uint64_t m_index = 0;  ///< read the state once this index is applied
};

/// What the host has to do after a step.
struct effects {
    std::uint64_t m_batch = 0;                  ///< writes up to this batch must be synced before
                                                ///< `m_synced_messages` may leave
    writes m_writes;                            ///< belongs to `m_batch`, where not empty
    std::vector<message> m_messages;            ///< may leave at once
    std::vector<message> m_synced_messages;     ///< may leave once `m_batch` is synced
    std::shared_ptr<const snapshot> m_restore;  ///< load this state before applying
    std::vector<entry> m_committed;             ///< apply in order
    std::vector<read_result> m_reads;
    bool m_refused = false;   ///< the proposal or request was not taken: no leader is known
    bool m_diverged = false;  ///< the leader contradicts a committed entry: a broken disk
};

/// Time has passed.
struct tick {};
/// Every batch up to `m_batch` is synced.
struct persisted {
    std::uint64_t m_batch = 0;
};
/// Commands for the log.
struct proposal {
    std::vector<std::string> m_payloads;
};
/// Asks for an index that holds everything acknowledged before the question.
struct read_request {
    std::uint64_t m_token = 0;
};
/// The state machine's state after `m_index`, so that the log up to it may go.
struct compaction {
    std::uint64_t m_index = 0;
    std::string m_state;
};
/// The leader is to be stopped: hand over to the most up-to-date voter.
struct transfer_request {};
/// An operator adds or removes a replica. One that is added learns first and is promoted later.
struct member_change {
    replica_id m_id;
    bool m_remove = false;
};

/// Replicas that the host has heard of in other ways: a blank or excluded one asks them too, since
/// the seeds in its settings may be gone.
struct known_replicas {
    std::vector<replica_id> m_ids;
};

/// Everything that a replica reacts to.
using input = std::variant<tick, message, persisted, proposal, read_request, compaction,
                           transfer_request, member_change, known_replicas>;

}  // namespace dewbeam::consensus
