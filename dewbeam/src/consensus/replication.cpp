#include <algorithm>
#include <functional>

#include "dewbeam/src/consensus/step.h"

namespace dewbeam::consensus::internal {

namespace {

peer_progress* find_peer(replica& self, const identity& from)
{
    const auto place = std::find_if(
        self.m_peers.begin(), self.m_peers.end(),
        [&](const peer_progress& peer) { return is_same_voter(self, peer.m_member, from); });
    return place == self.m_peers.end() ? nullptr : &*place;
}

void send_snapshot(context& at, peer_progress& peer)
{
    auto& self = at.m_self;
    if (peer.m_snapshot_until > at.m_now) {
        return;
    }
    peer.m_snapshot_until = at.m_now + self.m_options.m_election_span;
    auto made = make_message(self, message_kind::install, peer.m_member.m_identity.m_id);
    made.m_snapshot = self.m_log.m_snapshot;
    made.m_round = self.m_round;
    at.m_out.m_messages.push_back(std::move(made));
}

void add_entries(const replica& self, peer_progress& peer, message& out)
{
    const auto& options = self.m_options;
    std::size_t bytes = 0;
    const auto end =
        std::min(last(self.m_log).m_index, peer.m_match + options.m_most_unacknowledged);
    while (peer.m_next <= end && out.m_entries.size() < options.m_most_append_entries &&
           bytes < options.m_most_append_bytes) {
        out.m_entries.push_back(entry_at(self.m_log, peer.m_next));
        bytes += out.m_entries.back().m_payload.size();
        ++peer.m_next;
    }
}

void send_append(context& at, peer_progress& peer)
{
    auto& self = at.m_self;
    const auto previous = term_at(self.m_log, peer.m_next - 1);
    if (!previous) {
        send_snapshot(at, peer);
        return;
    }
    auto made = make_message(self, message_kind::append, peer.m_member.m_identity.m_id);
    made.m_previous = {*previous, peer.m_next - 1};
    made.m_commit = self.m_commit;
    made.m_round = self.m_round;
    add_entries(self, peer, made);
    at.m_out.m_messages.push_back(std::move(made));
}

/// Where the leader should go on after an append that doesn't fit.
std::uint64_t hint_after_mismatch(const replica& self, std::uint64_t previous)
{
    const auto end = last(self.m_log).m_index;
    if (previous > end) {
        return end;
    }
    const auto term = term_at(self.m_log, previous);
    auto hint = previous - 1;
    while (hint > self.m_commit && term_at(self.m_log, hint) == term) {
        --hint;
    }
    return hint;
}

void reply_to_append(context& at, const message& received, bool granted, std::uint64_t hint)
{
    auto answer = make_message(at.m_self, message_kind::append_reply, received.m_from.m_id);
    answer.m_granted = granted;
    answer.m_hint = hint;
    answer.m_round = received.m_round;
    at.m_out.m_synced_messages.push_back(std::move(answer));
}

void drop_suffix(context& at, std::uint64_t index)
{
    auto& self = at.m_self;
    truncate_from(self.m_log, index);
    at.m_out.m_writes.m_truncate_from = index;
    self.m_durable = std::min(self.m_durable, index - 1);
    for (auto& batch : self.m_pending) {
        batch.m_last_index = std::min(batch.m_last_index, index - 1);
    }
}

/// Adds what is new of the leader's entries; false where a committed one is contradicted.
bool take_entries(context& at, const std::vector<entry>& entries)
{
    auto& self = at.m_self;
    for (const auto& item : entries) {
        const auto index = item.m_position.m_index;
        if (index <= self.m_log.m_base.m_index) {
            continue;
        }
        const auto known = term_at(self.m_log, index);
        if (known == item.m_position.m_term) {
            continue;
        }
        if (known) {
            if (index <= self.m_commit) {
                return false;
            }
            drop_suffix(at, index);
        }
        append(self.m_log, item);
        at.m_out.m_writes.m_entries.push_back(item);
    }
    return true;
}

/// Entries of a message must follow each other; anything else is not from a leader.
bool is_well_formed(const message& received)
{
    auto index = received.m_previous.m_index;
    for (const auto& item : received.m_entries) {
        if (item.m_position.m_index != ++index || item.m_position.m_term > received.m_term) {
            return false;
        }
    }
    return true;
}

/// A replica belongs to the log of the first leader that it follows.
void learn_log(context& at, log_id heard)
{
    auto& self = at.m_self;
    if (self.m_hard.m_log == log_id{} && heard != log_id{}) {
        self.m_hard.m_log = heard;
        set_hard_state(at, self.m_hard.m_term, self.m_hard.m_vote);
    }
}

void follow(context& at, const message& received)
{
    become_follower(at, received.m_term, received.m_from.m_id);
    learn_log(at, received.m_log);
    at.m_self.m_leader_until = at.m_now + at.m_self.m_options.m_election_span;
    restart_election_timer(at);
}

std::uint64_t majority_match(const replica& self)
{
    std::vector<std::uint64_t> matches;
    if (is_voter(self)) {
        matches.push_back(self.m_options.m_count_synced ? self.m_durable
                                                        : last(self.m_log).m_index);
    }
    for (const auto& peer : self.m_peers) {
        if (peer.m_member.m_votes) {
            matches.push_back(peer.m_match);
        }
    }
    if (matches.empty()) {
        return 0;
    }
    std::sort(matches.begin(), matches.end(), std::greater<>());
    return matches[matches.size() / 2];
}

bool is_removed(const replica& self)
{
    const auto& newest = newest_membership(self.m_log);
    return newest.m_index <= self.m_commit && !is_voter(self);
}

}  // namespace

void refresh_peers(context& at)
{
    auto& self = at.m_self;
    std::vector<peer_progress> peers;
    for (const auto& item : newest_membership(self.m_log).m_members) {
        if (item.m_identity.m_id == self.m_self.m_id) {
            continue;
        }
        peer_progress progress;
        progress.m_next = last(self.m_log).m_index + 1;
        progress.m_heard_until = at.m_now + self.m_options.m_election_span;
        const auto known = std::find_if(
            self.m_peers.begin(), self.m_peers.end(),
            [&](const peer_progress& peer) { return peer.m_member.m_identity == item.m_identity; });
        if (known != self.m_peers.end()) {
            progress = *known;
        }
        progress.m_member = item;
        peers.push_back(progress);
    }
    self.m_peers = std::move(peers);
}

void broadcast(context& at)
{
    for (auto& peer : at.m_self.m_peers) {
        send_append(at, peer);
    }
}

void advance_commit(context& at)
{
    auto& self = at.m_self;
    const auto index = majority_match(self);
    const bool is_own_term = term_at(self.m_log, index) == self.m_hard.m_term;
    if (index <= self.m_commit || (self.m_options.m_commit_own_term && !is_own_term)) {
        return;
    }
    self.m_commit = index;
    start_waiting_reads(at);
    broadcast(at);
    if (is_removed(self)) {
        become_follower(at, self.m_hard.m_term, std::nullopt);
    }
}

void on_append(context& at, const message& received)
{
    auto& self = at.m_self;
    if (self.m_role == role::leader || !is_well_formed(received)) {
        return;
    }
    follow(at, received);
    const auto previous = received.m_previous;
    if (previous.m_index < self.m_log.m_base.m_index) {
        reply_to_append(at, received, true, self.m_commit);
        return;
    }
    if (term_at(self.m_log, previous.m_index) != previous.m_term) {
        at.m_out.m_diverged = previous.m_index <= self.m_commit;
        reply_to_append(at, received, false, hint_after_mismatch(self, previous.m_index));
        return;
    }
    if (!take_entries(at, received.m_entries)) {
        at.m_out.m_diverged = true;
        return;
    }
    const auto match = previous.m_index + received.m_entries.size();
    self.m_commit = std::max(self.m_commit, std::min<std::uint64_t>(received.m_commit, match));
    reply_to_append(at, received, true, match);
}

void on_append_reply(context& at, const message& received)
{
    auto& self = at.m_self;
    if (self.m_role != role::leader) {
        return;
    }
    auto* peer = find_peer(self, received.m_from);
    if (peer == nullptr) {
        admit(at, received.m_from);
        return;
    }
    if (received.m_hint > last(self.m_log).m_index) {
        return;
    }
    peer->m_heard_until = at.m_now + self.m_options.m_election_span;
    peer->m_round = std::max(peer->m_round, received.m_round);
    answer_reads(at);
    if (!received.m_granted) {
        peer->m_next = std::max(peer->m_match, received.m_hint) + 1;
        send_append(at, *peer);
        return;
    }
    peer->m_match = std::max(peer->m_match, received.m_hint);
    peer->m_next = std::max(peer->m_next, peer->m_match + 1);
    if (peer->m_next <= last(self.m_log).m_index) {
        send_append(at, *peer);
    }
    advance_commit(at);
    if (self.m_role == role::leader) {
        promote_learners(at);
    }
}

void on_snapshot(context& at, const message& received)
{
    auto& self = at.m_self;
    if (self.m_role == role::leader || !received.m_snapshot) {
        return;
    }
    follow(at, received);
    const auto index = received.m_snapshot->m_position.m_index;
    if (index <= self.m_commit) {
        reply_to_append(at, received, true, self.m_commit);
        return;
    }
    if (term_at(self.m_log, index) == received.m_snapshot->m_position.m_term) {
        // A late snapshot: the entries behind it may be acknowledged, so they stay.
        self.m_commit = index;
        reply_to_append(at, received, true, index);
        return;
    }
    reset(self.m_log, received.m_snapshot);
    self.m_commit = index;
    self.m_applied = index;
    self.m_durable = 0;
    for (auto& batch : self.m_pending) {
        batch.m_last_index = 0;
    }
    at.m_out.m_restore = received.m_snapshot;
    at.m_out.m_writes.m_snapshot = received.m_snapshot;
    at.m_out.m_writes.m_resets_log = true;
    at.m_out.m_writes.m_log_base = received.m_snapshot->m_position;
    reply_to_append(at, received, true, index);
}

void on_proposal(context& at, std::vector<entry> entries)
{
    auto& self = at.m_self;
    if (self.m_role == role::leader && !self.m_transfer_to) {
        for (auto& item : entries) {
            append_own(at, entry_kind::command, std::move(item.m_payload), {});
        }
        broadcast(at);
    }
    else if (self.m_role != role::leader && self.m_leader) {
        auto made = make_message(self, message_kind::forward, *self.m_leader);
        made.m_entries = std::move(entries);
        at.m_out.m_messages.push_back(std::move(made));
    }
    else {
        at.m_out.m_refused = true;
    }
}

}  // namespace dewbeam::consensus::internal
