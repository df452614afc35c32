#include <algorithm>

#include "dewbeam/src/consensus/step.h"

namespace dewbeam::consensus::internal {

namespace {

void put_member(membership& members, const member& item)
{
    std::erase_if(members, [&](const member& known) {
        return known.m_identity.m_id == item.m_identity.m_id;
    });
    members.push_back(item);
    std::sort(members.begin(), members.end(), [](const member& a, const member& b) {
        return a.m_identity.m_id < b.m_identity.m_id;
    });
}

/// The seed that founds the log where all are blank.
bool is_founder(const replica& self)
{
    const auto& seeds = self.m_options.m_seeds;
    return !seeds.empty() && *std::min_element(seeds.begin(), seeds.end()) == self.m_self.m_id;
}

log_id draw_log_id(random_engine& random)
{
    log_id drawn;
    while (drawn == log_id{}) {
        drawn = log_id(random());
    }
    return drawn;
}

void found_log(context& at)
{
    auto& self = at.m_self;
    if (!self.m_options.m_may_found || !is_blank(self) || !is_founder(self) ||
        self.m_blank.size() + 1 < self.m_options.m_seeds.size()) {
        return;
    }
    membership members;
    put_member(members, {self.m_self, true});
    for (const auto& other : self.m_blank) {
        put_member(members, {other, true});
    }
    self.m_hard.m_log = draw_log_id(at.m_random);
    set_hard_state(at, 1, std::nullopt);
    append_own(at, entry_kind::members, {}, std::move(members));
    self.m_election_at = at.m_now;
}

bool is_alive(const replica& self, const peer_progress& peer, time_point now)
{
    return peer.m_heard_until + self.m_options.m_dead_after > now;
}

std::size_t count_live_voters(const replica& self, time_point now)
{
    std::size_t result = is_voter(self) ? 1 : 0;
    for (const auto& peer : self.m_peers) {
        result += peer.m_member.m_votes && is_alive(self, peer, now) ? 1 : 0;
    }
    return result;
}

/// Whether the membership lacks a voter that works.
bool needs_voter(const replica& self, time_point now)
{
    const auto wanted = self.m_options.m_wanted_voters;
    return wanted == 0 || count_live_voters(self, now) < wanted;
}

/// The member that a prober replaces: the same replica on an older disk.
bool is_newer_disk(const member& known, const identity& prober)
{
    return known.m_identity.m_disk < prober.m_disk;
}

}  // namespace

bool may_change_membership(const replica& self)
{
    return self.m_role == role::leader && self.m_commit >= self.m_term_start &&
           newest_membership(self.m_log).m_index <= self.m_commit;
}

void change_membership(context& at, membership next)
{
    append_own(at, entry_kind::members, {}, std::move(next));
    refresh_peers(at);
    broadcast(at);
    advance_commit(at);
}

void promote_learners(context& at)
{
    auto& self = at.m_self;
    if (!may_change_membership(self) || !needs_voter(self, at.m_now)) {
        return;
    }
    for (const auto& peer : self.m_peers) {
        if (!peer.m_member.m_votes && peer.m_match > 0 && peer.m_match >= self.m_commit) {
            auto next = newest_membership(self.m_log).m_members;
            put_member(next, {peer.m_member.m_identity, true});
            change_membership(at, std::move(next));
            return;
        }
    }
}

void drop_dead_voter(context& at)
{
    auto& self = at.m_self;
    const auto wanted = self.m_options.m_wanted_voters;
    auto next = newest_membership(self.m_log).m_members;
    if (wanted == 0 || count_voters(next) <= wanted || !may_change_membership(self)) {
        return;
    }
    for (const auto& peer : self.m_peers) {
        if (peer.m_member.m_votes && !is_alive(self, peer, at.m_now)) {
            std::erase_if(next, [&](const member& item) {
                return item.m_identity.m_id == peer.m_member.m_identity.m_id;
            });
            change_membership(at, std::move(next));
            return;
        }
    }
}

void probe(context& at)
{
    auto& self = at.m_self;
    found_log(at);
    auto asked = self.m_options.m_seeds;
    asked.insert(asked.end(), self.m_known.begin(), self.m_known.end());
    for (const auto id : asked) {
        if (id == self.m_self.m_id) {
            continue;
        }
        auto question = make_message(self, message_kind::probe, id);
        question.m_round = self.m_nonce;
        at.m_out.m_messages.push_back(std::move(question));
    }
}

void on_probe(context& at, const message& received)
{
    auto& self = at.m_self;
    if (is_blank(self)) {
        auto answer = make_message(self, message_kind::blank, received.m_from.m_id);
        answer.m_round = received.m_round;
        at.m_out.m_messages.push_back(std::move(answer));
        return;
    }
    admit(at, received.m_from);
}

void admit(context& at, const identity& newcomer)
{
    auto& self = at.m_self;
    const auto& members = newest_membership(self.m_log).m_members;
    const auto* known = find_member(members, newcomer.m_id);
    const bool is_welcome =
        known == nullptr ? self.m_options.m_wanted_voters > 0 : is_newer_disk(*known, newcomer);
    if (!is_welcome || !may_change_membership(self)) {
        return;
    }
    auto next = members;
    const bool keeps_vote = known != nullptr && known->m_votes && !self.m_options.m_identify_disks;
    put_member(next, {newcomer, keeps_vote});
    change_membership(at, std::move(next));
}

void on_blank(context& at, const message& received)
{
    auto& self = at.m_self;
    const auto& seeds = self.m_options.m_seeds;
    const bool is_seed = std::find(seeds.begin(), seeds.end(), received.m_from.m_id) != seeds.end();
    if (!is_seed || received.m_round != self.m_nonce) {
        return;
    }
    std::erase_if(self.m_blank,
                  [&](const identity& known) { return known.m_id == received.m_from.m_id; });
    self.m_blank.push_back(received.m_from);
    found_log(at);
}

bool on_member_change(context& at, const member_change& wanted)
{
    auto& self = at.m_self;
    const auto& members = newest_membership(self.m_log).m_members;
    const auto* known = find_member(members, wanted.m_id);
    if (!may_change_membership(self) || (known != nullptr) != wanted.m_remove) {
        return false;
    }
    auto next = members;
    if (wanted.m_remove) {
        std::erase_if(next,
                      [&](const member& item) { return item.m_identity.m_id == wanted.m_id; });
    }
    else {
        put_member(next, {{wanted.m_id, disk_id{}}, false});  // its probe brings the disk
    }
    if (count_voters(next) == 0) {
        return false;
    }
    change_membership(at, std::move(next));
    return true;
}

}  // namespace dewbeam::consensus::internal
