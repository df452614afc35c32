/// \file
/// Parts of one step, shared by the files of this module and by nobody else.
#pragma once

#include "dewbeam/src/consensus/replica.h"

namespace dewbeam::consensus::internal {

/// What every part of a step works on.
struct context {
    replica& m_self;
    time_point m_now;
    random_engine& m_random;
    effects& m_out;
};

/// A message from this replica in its term.
message make_message(const replica& self, message_kind kind, replica_id to);

/// Adds an entry of the leader's term to its log and to the writes.
void append_own(context& at, entry_kind kind, std::string payload, membership members);

/// Sets term and vote and asks for the write.
void set_hard_state(context& at, std::uint64_t term, std::optional<identity> vote);

/// A new election deadline.
void restart_election_timer(context& at);

/// Whether `count` is a majority of the newest membership's voters.
bool is_majority(const replica& self, std::size_t count);

/// Whether a vote or an acknowledgement of `from` counts as that of `known`.
bool is_same_voter(const replica& self, const member& known, const identity& from);

// Elections.
void become_follower(context& at, std::uint64_t term, std::optional<replica_id> leader);
void start_election(context& at);
void campaign(context& at, bool forced);
void count_own_vote(context& at);
void on_vote_request(context& at, const message& received);
void on_vote_reply(context& at, const message& received);

// Replication.
void refresh_peers(context& at);
void broadcast(context& at);
void advance_commit(context& at);
void on_append(context& at, const message& received);
void on_append_reply(context& at, const message& received);
void on_snapshot(context& at, const message& received);
void on_proposal(context& at, std::vector<entry> entries);

// Reads.
void start_read(context& at, replica_id origin, std::uint64_t token);
void start_waiting_reads(context& at);
void answer_reads(context& at);
void refuse_reads(context& at);

// Membership.
bool may_change_membership(const replica& self);
void change_membership(context& at, membership next);
void promote_learners(context& at);
/// Drops a dead voter where there are more voters than wanted.
void drop_dead_voter(context& at);
void probe(context& at);
/// Lets a replica of a known id on a newer disk in, as a learner; with `m_wanted_voters` one of an
/// unknown id too.
void admit(context& at, const identity& newcomer);
void on_probe(context& at, const message& received);
void on_blank(context& at, const message& received);
bool on_member_change(context& at, const member_change& wanted);

}  // namespace dewbeam::consensus::internal
