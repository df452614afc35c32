#include <algorithm>

#include "dewbeam/src/consensus/step.h"

namespace dewbeam::consensus::internal {

namespace {

bool counts(const replica& self, const identity& from)
{
    const auto* known = find_member(newest_membership(self.m_log).m_members, from.m_id);
    return known != nullptr && known->m_votes && is_same_voter(self, *known, from);
}

void add_vote(replica& self, const identity& from)
{
    const bool is_known = std::any_of(self.m_votes.begin(), self.m_votes.end(),
                                      [&](const identity& id) { return id.m_id == from.m_id; });
    if (!is_known && counts(self, from)) {
        self.m_votes.push_back(from);
    }
}

void ask_for_votes(context& at, message_kind kind, std::uint64_t term, bool forced)
{
    auto& self = at.m_self;
    auto& out = kind == message_kind::vote ? at.m_out.m_synced_messages : at.m_out.m_messages;
    for (const auto& item : newest_membership(self.m_log).m_members) {
        if (!item.m_votes || item.m_identity.m_id == self.m_self.m_id) {
            continue;
        }
        auto question = make_message(self, kind, item.m_identity.m_id);
        question.m_term = term;
        question.m_previous = last(self.m_log);
        question.m_forced = forced;
        out.push_back(std::move(question));
    }
}

void become_leader(context& at)
{
    auto& self = at.m_self;
    self.m_role = role::leader;
    self.m_leader = self.m_self.m_id;
    self.m_peers.clear();
    self.m_reads.clear();
    self.m_transfer_to.reset();
    self.m_term_start = last(self.m_log).m_index + 1;
    append_own(at, entry_kind::no_op, {}, {});
    refresh_peers(at);
    self.m_heartbeat_at = at.m_now + self.m_options.m_heartbeat_span;
    broadcast(at);
}

void decide(context& at)
{
    auto& self = at.m_self;
    if (!is_majority(self, self.m_votes.size())) {
        return;
    }
    if (self.m_role == role::pre_candidate) {
        campaign(at, false);
    }
    else {
        become_leader(at);
    }
}

bool may_vote(const replica& self, const message& received)
{
    if (received.m_previous < last(self.m_log)) {
        return false;
    }
    if (received.m_kind == message_kind::pre_vote) {
        return received.m_term > self.m_hard.m_term;
    }
    return !self.m_hard.m_vote || *self.m_hard.m_vote == received.m_from;
}

}  // namespace

void become_follower(context& at, std::uint64_t term, std::optional<replica_id> leader)
{
    auto& self = at.m_self;
    if (self.m_role == role::leader) {
        refuse_reads(at);
        self.m_peers.clear();
        self.m_leader_until = at.m_now;
    }
    if (self.m_role != role::follower) {
        restart_election_timer(at);
    }
    self.m_role = role::follower;
    self.m_leader = leader;
    if (term > self.m_hard.m_term) {
        set_hard_state(at, term, std::nullopt);
    }
}

void start_election(context& at)
{
    auto& self = at.m_self;
    if (!self.m_options.m_pre_vote) {
        campaign(at, false);
        return;
    }
    restart_election_timer(at);
    self.m_role = role::pre_candidate;
    self.m_leader.reset();
    self.m_votes.clear();
    add_vote(self, self.m_self);
    ask_for_votes(at, message_kind::pre_vote, self.m_hard.m_term + 1, false);
    decide(at);
}

void campaign(context& at, bool forced)
{
    auto& self = at.m_self;
    restart_election_timer(at);
    self.m_role = role::candidate;
    self.m_leader.reset();
    self.m_votes.clear();
    set_hard_state(at, self.m_hard.m_term + 1, self.m_self);
    self.m_own_vote_batch = self.m_batch + 1;
    ask_for_votes(at, message_kind::vote, self.m_hard.m_term, forced);
}

void count_own_vote(context& at)
{
    add_vote(at.m_self, at.m_self.m_self);
    decide(at);
}

void on_vote_request(context& at, const message& received)
{
    auto& self = at.m_self;
    const bool is_pre_vote = received.m_kind == message_kind::pre_vote;
    const bool granted = may_vote(self, received);
    if (granted && !is_pre_vote) {
        set_hard_state(at, self.m_hard.m_term, received.m_from);
        restart_election_timer(at);
    }
    auto answer =
        make_message(self, is_pre_vote ? message_kind::pre_vote_reply : message_kind::vote_reply,
                     received.m_from.m_id);
    answer.m_granted = granted;
    if (is_pre_vote && granted) {
        answer.m_term = received.m_term;
    }
    at.m_out.m_synced_messages.push_back(std::move(answer));
}

void on_vote_reply(context& at, const message& received)
{
    auto& self = at.m_self;
    const bool is_pre_vote = received.m_kind == message_kind::pre_vote_reply;
    const auto awaited = is_pre_vote ? role::pre_candidate : role::candidate;
    const auto term = self.m_hard.m_term + (is_pre_vote ? 1 : 0);
    if (self.m_role != awaited || !received.m_granted || received.m_term != term) {
        return;
    }
    add_vote(self, received.m_from);
    decide(at);
}

}  // namespace dewbeam::consensus::internal
