#include "dewbeam/src/consensus/replica.h"

#include <algorithm>

#include "dewbeam/src/consensus/step.h"

namespace dewbeam::consensus {

namespace internal {

message make_message(const replica& self, message_kind kind, replica_id to)
{
    message made;
    made.m_kind = kind;
    made.m_from = self.m_self;
    made.m_to = to;
    made.m_log = self.m_hard.m_log;
    made.m_term = self.m_hard.m_term;
    return made;
}

void append_own(context& at, entry_kind kind, std::string payload, membership members)
{
    entry made;
    made.m_position = {at.m_self.m_hard.m_term, last(at.m_self.m_log).m_index + 1};
    made.m_kind = kind;
    made.m_payload = std::move(payload);
    made.m_members = std::move(members);
    at.m_out.m_writes.m_entries.push_back(made);
    append(at.m_self.m_log, std::move(made));
}

void set_hard_state(context& at, std::uint64_t term, std::optional<identity> vote)
{
    at.m_self.m_hard = {term, vote, at.m_self.m_commit, at.m_self.m_hard.m_log};
    at.m_out.m_writes.m_hard_state = at.m_self.m_hard;
}

void restart_election_timer(context& at)
{
    const auto span = at.m_self.m_options.m_election_span;
    const auto extra = uniform_below(at.m_random, static_cast<std::uint64_t>(span.count()));
    at.m_self.m_election_at = at.m_now + span + time_span(static_cast<std::int64_t>(extra));
}

bool is_majority(const replica& self, std::size_t count)
{
    return count > count_voters(newest_membership(self.m_log).m_members) / 2;
}

bool is_same_voter(const replica& self, const member& known, const identity& from)
{
    return known.m_identity.m_id == from.m_id &&
           (!self.m_options.m_identify_disks || known.m_identity.m_disk == from.m_disk);
}

}  // namespace internal

namespace {

using internal::context;

bool hears_majority(const replica& self, time_point now)
{
    std::size_t heard = is_voter(self) ? 1 : 0;
    for (const auto& peer : self.m_peers) {
        if (peer.m_member.m_votes && peer.m_heard_until > now) {
            ++heard;
        }
    }
    return internal::is_majority(self, heard);
}

void save_commit(context& at)
{
    auto& self = at.m_self;
    if (self.m_hard.m_commit < self.m_commit) {
        internal::set_hard_state(at, self.m_hard.m_term, self.m_hard.m_vote);
    }
}

void tick_leader(context& at)
{
    auto& self = at.m_self;
    if (self.m_options.m_check_quorum && !hears_majority(self, at.m_now)) {
        internal::become_follower(at, self.m_hard.m_term, std::nullopt);
        return;
    }
    if (self.m_transfer_to && self.m_transfer_until <= at.m_now) {
        self.m_transfer_to.reset();
    }
    if (self.m_heartbeat_at <= at.m_now) {
        self.m_heartbeat_at = at.m_now + self.m_options.m_heartbeat_span;
        internal::broadcast(at);
    }
    internal::promote_learners(at);
    internal::drop_dead_voter(at);
}

void handle(context& at, const tick&)
{
    auto& self = at.m_self;
    save_commit(at);
    if (self.m_role == role::leader) {
        tick_leader(at);
        return;
    }
    if (is_voter(self) && self.m_election_at <= at.m_now) {
        internal::start_election(at);
    }
    // A membership that is not committed may never come to be: only a committed one ends the
    // probes.
    const auto* own = find_member(membership_in_force(self.m_log, self.m_commit), self.m_self.m_id);
    // With `m_wanted_voters` a learner may stay one, and a voter may have been dropped while it was
    // away: either is settled while a leader is heard.
    const bool keeps_place = self.m_options.m_wanted_voters > 0 ? self.m_leader_until > at.m_now
                                                                : own != nullptr && own->m_votes;
    const bool is_settled = own != nullptr && own->m_identity == self.m_self && keeps_place;
    if (!is_settled && self.m_probe_at <= at.m_now) {
        self.m_probe_at = at.m_now + self.m_options.m_heartbeat_span;
        internal::probe(at);
    }
}

void handle(context& at, const persisted& report)
{
    auto& self = at.m_self;
    while (!self.m_pending.empty() && self.m_pending.front().m_batch <= report.m_batch) {
        self.m_durable = self.m_pending.front().m_last_index;
        self.m_pending.pop_front();
    }
    if (self.m_role == role::candidate && self.m_own_vote_batch <= report.m_batch) {
        internal::count_own_vote(at);
    }
    if (self.m_role == role::leader) {
        internal::advance_commit(at);
    }
}

void handle(context& at, const proposal& wanted)
{
    std::vector<entry> entries(wanted.m_payloads.size());
    for (std::size_t i = 0; i < entries.size(); ++i) {
        entries[i].m_kind = entry_kind::command;
        entries[i].m_payload = wanted.m_payloads[i];
    }
    internal::on_proposal(at, std::move(entries));
}

void handle(context& at, const read_request& wanted)
{
    auto& self = at.m_self;
    if (self.m_role == role::leader) {
        internal::start_read(at, self.m_self.m_id, wanted.m_token);
    }
    else if (self.m_leader) {
        auto question = internal::make_message(self, message_kind::read, *self.m_leader);
        question.m_round = wanted.m_token;
        at.m_out.m_messages.push_back(std::move(question));
    }
    else {
        at.m_out.m_reads.push_back({wanted.m_token, false, 0});
    }
}

void handle(context& at, const compaction& wanted)
{
    auto& self = at.m_self;
    const bool is_older =
        self.m_log.m_snapshot && wanted.m_index <= self.m_log.m_snapshot->m_position.m_index;
    if (is_older || wanted.m_index > self.m_applied) {
        at.m_out.m_refused = true;
        return;
    }
    auto taken = std::make_shared<snapshot>();
    taken->m_position = {*term_at(self.m_log, wanted.m_index), wanted.m_index};
    taken->m_members = membership_in_force(self.m_log, wanted.m_index);
    taken->m_state = wanted.m_state;
    compact(self.m_log, taken, self.m_options.m_kept);
    at.m_out.m_writes.m_snapshot = std::move(taken);
    at.m_out.m_writes.m_log_base = self.m_log.m_base;
}

const peer_progress* most_up_to_date(const replica& self)
{
    const peer_progress* best = nullptr;
    for (const auto& peer : self.m_peers) {
        if (peer.m_member.m_votes && (best == nullptr || peer.m_match > best->m_match)) {
            best = &peer;
        }
    }
    return best;
}

void send_campaign_now(context& at, replica_id to)
{
    at.m_out.m_messages.push_back(
        internal::make_message(at.m_self, message_kind::campaign_now, to));
}

void handle(context& at, const transfer_request&)
{
    auto& self = at.m_self;
    const auto* best = self.m_role == role::leader ? most_up_to_date(self) : nullptr;
    if (best == nullptr) {
        at.m_out.m_refused = true;
        return;
    }
    self.m_transfer_to = best->m_member.m_identity.m_id;
    self.m_transfer_until = at.m_now + self.m_options.m_election_span;
    if (best->m_match == last(self.m_log).m_index) {
        send_campaign_now(at, *self.m_transfer_to);
    }
    else {
        internal::broadcast(at);
    }
}

void handle(context& at, const known_replicas& heard_of)
{
    at.m_self.m_known = heard_of.m_ids;
}

void handle(context& at, const member_change& wanted)
{
    at.m_out.m_refused = !internal::on_member_change(at, wanted);
}

/// Replicas are told apart by small numbers, which each deployment has: where an address leads to a
/// replica of another one, its votes, entries and terms must not count here.
bool is_of_other_log(const replica& self, const message& received)
{
    return self.m_hard.m_log != log_id{} && received.m_log != log_id{} &&
           self.m_hard.m_log != received.m_log;
}

/// Whether the term of a message says something about the sender's term.
bool carries_term(const message& received)
{
    switch (received.m_kind) {
        case message_kind::probe:
        case message_kind::blank:
        case message_kind::forward:
        case message_kind::read:
        case message_kind::read_reply:
        case message_kind::pre_vote:
            return false;
        case message_kind::pre_vote_reply:
            return !received.m_granted;
        default:
            return true;
    }
}

/// A forced or timely election may begin a new term; any other is ignored while a leader is heard.
bool is_disruptive(const replica& self, const message& received, time_point now)
{
    const bool is_request =
        received.m_kind == message_kind::vote || received.m_kind == message_kind::pre_vote;
    const bool hears_leader = self.m_role == role::leader || self.m_leader_until > now;
    return is_request && self.m_options.m_check_quorum && hears_leader && !received.m_forced;
}

void answer_old_term(context& at, const message& received)
{
    const bool is_from_old_leader =
        received.m_kind == message_kind::append || received.m_kind == message_kind::install;
    if (is_from_old_leader) {
        at.m_out.m_synced_messages.push_back(
            internal::make_message(at.m_self, message_kind::append_reply, received.m_from.m_id));
    }
}

void on_campaign_now(context& at)
{
    if (is_voter(at.m_self) && at.m_self.m_role != role::leader) {
        internal::campaign(at, true);
    }
}

void on_read_reply(context& at, const message& received)
{
    at.m_out.m_reads.push_back({received.m_round, received.m_granted, received.m_commit});
}

void on_read(context& at, const message& received)
{
    if (at.m_self.m_role == role::leader) {
        internal::start_read(at, received.m_from.m_id, received.m_round);
        return;
    }
    auto answer = internal::make_message(at.m_self, message_kind::read_reply, received.m_from.m_id);
    answer.m_round = received.m_round;
    at.m_out.m_messages.push_back(std::move(answer));
}

void on_forward(context& at, const message& received)
{
    if (at.m_self.m_role == role::leader) {
        internal::on_proposal(at, received.m_entries);
    }
}

void dispatch(context& at, const message& received)
{
    switch (received.m_kind) {
        case message_kind::probe:
            return internal::on_probe(at, received);
        case message_kind::blank:
            return internal::on_blank(at, received);
        case message_kind::pre_vote:
        case message_kind::vote:
            return internal::on_vote_request(at, received);
        case message_kind::pre_vote_reply:
        case message_kind::vote_reply:
            return internal::on_vote_reply(at, received);
        case message_kind::append:
            return internal::on_append(at, received);
        case message_kind::append_reply:
            return internal::on_append_reply(at, received);
        case message_kind::install:
            return internal::on_snapshot(at, received);
        case message_kind::forward:
            return on_forward(at, received);
        case message_kind::read:
            return on_read(at, received);
        case message_kind::read_reply:
            return on_read_reply(at, received);
        case message_kind::campaign_now:
            return on_campaign_now(at);
    }
}

void handle(context& at, const message& received)
{
    auto& self = at.m_self;
    const bool is_for_me =
        received.m_to == self.m_self.m_id && received.m_from.m_id != self.m_self.m_id;
    if (!is_for_me || is_of_other_log(self, received)) {
        return;
    }
    if (is_disruptive(self, received, at.m_now)) {
        // One that was dropped while it was away does not know it and asks for votes.
        internal::admit(at, received.m_from);
        return;
    }
    if (carries_term(received)) {
        if (received.m_term > self.m_hard.m_term) {
            internal::become_follower(at, received.m_term, std::nullopt);
        }
        if (received.m_term < self.m_hard.m_term) {
            answer_old_term(at, received);
            return;
        }
    }
    dispatch(at, received);
}

void complete_transfer(context& at)
{
    auto& self = at.m_self;
    if (self.m_role != role::leader || !self.m_transfer_to) {
        return;
    }
    for (const auto& peer : self.m_peers) {
        if (peer.m_member.m_identity.m_id == *self.m_transfer_to &&
            peer.m_match == last(self.m_log).m_index) {
            send_campaign_now(at, *self.m_transfer_to);
        }
    }
}

void number_batch(context& at)
{
    auto& self = at.m_self;
    if (!at.m_out.m_writes.empty()) {
        save_commit(at);
        ++self.m_batch;
        self.m_pending.push_back({self.m_batch, last(self.m_log).m_index});
    }
    at.m_out.m_batch = self.m_batch;
}

void hand_over_committed(context& at)
{
    auto& self = at.m_self;
    while (self.m_applied < self.m_commit) {
        ++self.m_applied;
        at.m_out.m_committed.push_back(entry_at(self.m_log, self.m_applied));
    }
}

void load_log(replica& self, recovered_state disk)
{
    if (disk.m_snapshot) {
        reset(self.m_log, disk.m_snapshot);
        self.m_commit = disk.m_snapshot->m_position.m_index;
        self.m_applied = self.m_commit;
    }
    for (auto& item : disk.m_entries) {
        const auto index = item.m_position.m_index;
        if (index == self.m_log.m_base.m_index && item.m_position != self.m_log.m_base) {
            break;  // the disk died between a received snapshot and the cut of the old log
        }
        if (index == last(self.m_log).m_index + 1) {
            append(self.m_log, std::move(item));
        }
    }
    self.m_durable = last(self.m_log).m_index;
    self.m_commit = std::max(self.m_commit, std::min(self.m_hard.m_commit, self.m_durable));
}

}  // namespace

void apply(recovered_state& disk, const writes& item)
{
    auto& log = disk.m_entries;
    if (item.m_snapshot) {
        disk.m_snapshot = item.m_snapshot;
        disk.m_log_base = item.m_log_base;
        const auto covered = item.m_log_base.m_index;
        const auto end = std::find_if(log.begin(), log.end(), [&](const entry& old) {
            return !item.m_resets_log && old.m_position.m_index > covered;
        });
        log.erase(log.begin(), end);
    }
    const auto cut = [&log](std::uint64_t index) {
        while (!log.empty() && log.back().m_position.m_index >= index) {
            log.pop_back();
        }
    };
    if (item.m_truncate_from) {
        cut(*item.m_truncate_from);
    }
    for (const auto& added : item.m_entries) {
        cut(added.m_position.m_index);
        log.push_back(added);
    }
    if (item.m_hard_state) {
        disk.m_hard = *item.m_hard_state;
    }
}

replica make_replica(const replica_options& options, identity self, recovered_state disk,
                     time_point now, random_engine& random)
{
    replica made;
    made.m_options = options;
    made.m_self = self;
    made.m_hard = disk.m_hard;
    made.m_nonce = random();
    load_log(made, std::move(disk));
    effects nothing;
    context at{made, now, random, nothing};
    internal::restart_election_timer(at);
    made.m_probe_at = now;
    return made;
}

effects step(replica& self, const input& event, time_point now, random_engine& random)
{
    effects out;
    context at{self, now, random, out};
    std::visit([&at](const auto& item) { handle(at, item); }, event);
    if (std::holds_alternative<message>(event)) {
        complete_transfer(at);
    }
    number_batch(at);
    hand_over_committed(at);
    return out;
}

bool is_voter(const replica& self)
{
    const auto* own = find_member(newest_membership(self.m_log).m_members, self.m_self.m_id);
    return own != nullptr && own->m_votes && internal::is_same_voter(self, *own, self.m_self);
}

bool is_blank(const replica& self)
{
    return self.m_hard.m_term == 0 && last(self.m_log).m_index == 0;
}

bool has_quorum(const replica& self, time_point now)
{
    return self.m_role == role::leader ? hears_majority(self, now)
                                       : self.m_leader && self.m_leader_until > now;
}

}  // namespace dewbeam::consensus
