#include "dewbeam/src/membership/protocol.h"

#include <algorithm>

#include "dewbeam/turns"

namespace dewbeam::membership {

namespace {

using internal::first_by_rendezvous;
using internal::merge;
using internal::note_contact;
using internal::part_of;
using internal::replace_self;
using internal::whole_digest;

/// A message that says who sends it and how recently each domain was heard.
gossip make_message(const view& state, time_point now)
{
    gossip message;
    message.m_from = state.m_self.m_host;
    message.m_failure_domain = state.m_self.m_failure_domain;
    message.m_role = state.m_self.m_role;
    message.m_reply_to = state.m_self.m_address;
    for (const auto& contact : state.m_contacts) {
        if (now - contact.m_heard_at < 2 * state.m_options.m_domain_silence) {
            message.m_contacts.push_back(contact);
        }
    }
    if (state.m_has_heard_quorum) {
        message.m_quorum_heard_at = state.m_quorum_heard_at;
    }
    return message;
}

void note_origin(view& state, const gossip& message, time_point now)
{
    note_contact(state, message.m_failure_domain, now);
    if (message.m_failure_domain == state.m_self.m_failure_domain) {
        for (const auto& contact : message.m_contacts) {
            if (contact.m_failure_domain != state.m_self.m_failure_domain) {
                note_contact(state, contact.m_failure_domain, std::min(contact.m_heard_at, now));
            }
        }
    }
    if (message.m_quorum_heard_at) {
        note_quorum(state, std::min(*message.m_quorum_heard_at, now));
    }
}

/// Answers a claim about this very process.
void defend(view& state, const member& claim, effects& out)
{
    const auto& self = state.m_self;
    if (claim.m_incarnation > self.m_incarnation) {
        out.m_is_superseded = true;
        return;
    }
    auto renewed = self;
    if (claim.m_incarnation == self.m_incarnation && claim.m_dead) {
        renewed.m_incarnation = incarnation(self.m_incarnation.value() + 1);
        renewed.m_sequence = 1;
        out.m_has_new_incarnation = true;
        replace_self(state, renewed);
        return;
    }
    const bool is_doubted = claim.m_incarnation == self.m_incarnation &&
                            (claim.m_suspect || claim.m_sequence > self.m_sequence) &&
                            claim.m_sequence >= self.m_sequence;
    if (is_doubted) {
        renewed.m_sequence = claim.m_sequence + 1;
        replace_self(state, renewed);
    }
}

/// Tells a sender that the view holds something later than what it claimed.
void correct(const view& state, const member& claim, gossip& answer)
{
    const auto* known = find(state, claim.m_host);
    if (known != nullptr && supersedes(known->m_member, claim)) {
        answer.m_deltas.push_back(known->m_member);
    }
}

void take_deltas(view& state, const gossip& message, time_point now, gossip& answer, effects& out)
{
    for (const auto& claim : message.m_deltas) {
        if (claim.m_host == state.m_self.m_host) {
            defend(state, claim, out);
        }
        else if (merge(state, claim, now)) {
            out.m_changes.push_back(claim);
        }
        else {
            correct(state, claim, answer);
        }
    }
}

/// Renews the sender's lease, or says why it can't be renewed.
void take_heartbeat(view& state, const gossip& message, time_point now, gossip& answer)
{
    const auto& beat = *message.m_heartbeat;
    const auto place = state.m_records.find(message.m_from);
    answer.m_domain_digest = state.m_domain_digest;
    if (place == state.m_records.end()) {
        answer.m_wants_self = true;
        return;
    }
    auto& known = place->second;
    member claim;
    claim.m_incarnation = beat.m_incarnation;
    claim.m_sequence = beat.m_sequence;
    if (supersedes(claim, known.m_member)) {
        answer.m_wants_self = true;
        return;
    }
    const bool is_held = !known.m_member.m_dead && !known.m_member.m_suspect &&
                         known.m_member.m_incarnation == beat.m_incarnation;
    if (is_held) {
        known.m_member.m_lease_deadline = now + state.m_options.m_lease;
        return;
    }
    answer.m_deltas.push_back(known.m_member);
}

void add_parts_that_differ(const view& state, const part_digests& theirs, gossip& answer)
{
    const auto add = [&](const member& item, std::uint64_t hash) {
        const auto part = part_of(hash);
        if (state.m_parts[part] != theirs[part]) {
            answer.m_deltas.push_back(item);
        }
    };
    add(state.m_self, stable_hash(state.m_self.m_host.value()));
    for (const auto& [host, item] : state.m_records) {
        add(item.m_member, item.m_hash);
    }
}

/// Compares digests: all in one first, then by parts, then the members of parts that differ.
void compare(const view& state, const gossip& message, gossip& answer)
{
    if (message.m_digest && *message.m_digest != whole_digest(state)) {
        answer.m_parts = state.m_parts;
    }
    if (message.m_parts) {
        add_parts_that_differ(state, *message.m_parts, answer);
        if (!message.m_is_parts_answer) {
            answer.m_parts = state.m_parts;
            answer.m_is_parts_answer = true;
        }
    }
}

/// Gives an agent the entries and controls of its domain.
void add_domain(const view& state, const failure_domain_id& domain, gossip& answer)
{
    const auto add = [&](const member& item) {
        if (spreads(item.m_role) && item.m_failure_domain == domain) {
            answer.m_deltas.push_back(item);
        }
    };
    add(state.m_self);
    for (const auto& [host, item] : state.m_records) {
        add(item.m_member);
    }
}

bool has_content(const gossip& answer)
{
    return !answer.m_deltas.empty() || answer.m_parts || answer.m_domain_digest ||
           answer.m_wants_self || answer.m_wants_domain;
}

std::vector<host_id> watchers_of(const view& state, const host_id& host,
                                 const std::vector<internal::candidate>& candidates)
{
    return first_by_rendezvous(host, 0, candidates, state.m_options.m_watchers);
}

/// This process decides which records it watches, anew after entries came or went.
void refresh_watches(view& state, time_point now)
{
    state.m_are_watchers_stale = false;
    const auto& domain = state.m_self.m_failure_domain;
    const auto candidates = internal::watcher_candidates(state);
    state.m_own_watchers = watchers_of(state, state.m_self.m_host, candidates);
    if (state.m_self.m_role != role::entry) {
        return;
    }
    state.m_watched.clear();
    for (auto& [host, item] : state.m_records) {
        if (item.m_member.m_failure_domain != domain || item.m_member.m_dead) {
            item.m_is_watched = false;
            continue;
        }
        const auto watchers = watchers_of(state, host, candidates);
        const bool is_watched =
            std::find(watchers.begin(), watchers.end(), state.m_self.m_host) != watchers.end();
        if (is_watched && !item.m_is_watched) {
            item.m_member.m_lease_deadline = now + 2 * state.m_options.m_lease;
            item.m_dead_at =
                item.m_member.m_suspect ? now + state.m_options.m_suspicion : no_deadline;
        }
        item.m_is_watched = is_watched;
        if (is_watched) {
            state.m_watched.push_back(host);
        }
    }
}

/// Doubts a watched member whose lease ended, and holds a suspect dead that didn't answer.
void check_lease(view& state, record& item, time_point now, effects& out)
{
    auto claim = item.m_member;
    if (claim.m_suspect && now >= item.m_dead_at) {
        claim.m_dead = true;
        claim.m_suspect = false;
        claim.m_lease_deadline = now + state.m_options.m_dead_memory;
    }
    else if (!claim.m_suspect && now >= claim.m_lease_deadline) {
        claim.m_suspect = true;
    }
    else {
        return;
    }
    if (merge(state, claim, now)) {
        out.m_changes.push_back(claim);
        auto message = make_message(state, now);
        message.m_deltas.push_back(claim);
        out.m_sends.push_back({claim.m_address, std::move(message)});
    }
}

void check_leases(view& state, time_point now, effects& out)
{
    for (const auto& host : state.m_watched) {
        const auto place = state.m_records.find(host);
        if (place != state.m_records.end() && !place->second.m_member.m_dead) {
            check_lease(state, place->second, now, out);
        }
    }
}

/// Forgets the dead whose time is over. Their digests leave with them.
void forget_dead(view& state, time_point now)
{
    for (auto place = state.m_records.begin(); place != state.m_records.end();) {
        const auto& item = place->second.m_member;
        if (item.m_dead && now >= item.m_lease_deadline) {
            const auto hash = place->second.m_hash;
            const auto digest = combine_hash(combine_hash(hash, item.m_incarnation.value()), 0);
            state.m_parts[part_of(hash)] ^= static_cast<std::uint32_t>(digest);
            place = state.m_records.erase(place);
        }
        else {
            ++place;
        }
    }
}

/// Whether nobody of the own domain answers: the watchers that are known may all be gone.
bool is_alone(const view& state, time_point now)
{
    for (const auto& contact : state.m_contacts) {
        if (contact.m_failure_domain == state.m_self.m_failure_domain) {
            return now - contact.m_heard_at >= state.m_options.m_lease;
        }
    }
    return true;
}

/// Renews the own lease; those that have not heard the current sequence get all of it.
void send_heartbeats(view& state, time_point now, effects& out)
{
    if (now < state.m_heartbeat_at) {
        return;
    }
    state.m_heartbeat_at = now + state.m_options.m_heartbeat;
    auto& told = state.m_told_watchers;
    for (const auto& host : state.m_own_watchers) {
        const auto* watcher = find(state, host);
        if (watcher == nullptr) {
            continue;
        }
        auto message = make_message(state, now);
        message.m_heartbeat = {state.m_self.m_incarnation, state.m_self.m_sequence};
        if (std::find(told.begin(), told.end(), host) == told.end()) {
            message.m_deltas.push_back(state.m_self);
            told.push_back(host);
        }
        out.m_sends.push_back({watcher->m_member.m_address, std::move(message)});
    }
    if (!state.m_own_watchers.empty() && !is_alone(state, now)) {
        return;
    }
    for (const auto& seed : state.m_options.m_seeds) {
        if (seed != state.m_self.m_address) {
            auto message = make_message(state, now);
            message.m_deltas.push_back(state.m_self);
            message.m_wants_domain = true;
            out.m_sends.push_back({seed, std::move(message)});
        }
    }
}

/// Draws the few entries and controls that this process gossips with for some minutes: a link
/// that stays open costs less than one that is opened for each message.
void refresh_partners(view& state, time_point now)
{
    state.m_are_partners_stale = false;
    const auto span = state.m_options.m_partnership;
    const auto period = now.time_since_epoch() / span;
    state.m_partners_until = time_point{} + (period + 1) * span;
    std::vector<internal::candidate> near;
    std::vector<internal::candidate> far;
    for (const auto& [host, item] : state.m_records) {
        if (spreads(item.m_member.m_role) && !item.m_member.m_dead) {
            const bool is_near = item.m_member.m_failure_domain == state.m_self.m_failure_domain;
            (is_near ? near : far).push_back({item.m_hash, host});
        }
    }
    const auto salt = static_cast<std::uint64_t>(period) + 1;
    const auto draw = [&](const std::vector<internal::candidate>& from) {
        return first_by_rendezvous(state.m_self.m_host, salt, from, state.m_options.m_partners);
    };
    state.m_near_partners = draw(near);
    state.m_far_partners = draw(far);
}

/// Takes the changes that are still to be passed on, the least passed on first.
std::vector<member> take_fresh(view& state)
{
    std::vector<record*> fresh;
    for (const auto& host : state.m_fresh) {
        const auto place = state.m_records.find(host);
        if (place != state.m_records.end()) {
            fresh.push_back(&place->second);
        }
    }
    std::stable_sort(fresh.begin(), fresh.end(), [](const record* a, const record* b) {
        return a->m_rounds_left > b->m_rounds_left;
    });
    fresh.resize(std::min<std::size_t>(fresh.size(), state.m_options.m_most_deltas));
    std::vector<member> deltas;
    for (auto* item : fresh) {
        --item->m_rounds_left;
        deltas.push_back(item->m_member);
    }
    std::erase_if(state.m_fresh, [&](const host_id& host) {
        const auto* item = find(state, host);
        return item == nullptr || item->m_rounds_left == 0;
    });
    return deltas;
}

/// Draws watches and partners anew where members came or went; not at each change of a burst.
void refresh_drawn(view& state, time_point now)
{
    if (now < state.m_refresh_at) {
        return;
    }
    const bool are_watchers_stale = state.m_are_watchers_stale;
    const bool are_partners_stale = spreads(state.m_self.m_role) &&
                                    (state.m_are_partners_stale || now >= state.m_partners_until);
    if (are_watchers_stale) {
        refresh_watches(state, now);
    }
    if (are_partners_stale) {
        refresh_partners(state, now);
    }
    if (are_watchers_stale || are_partners_stale) {
        state.m_refresh_at = now + state.m_options.m_heartbeat;
    }
}

std::string address_of(const view& state, const host_id& host)
{
    const auto* item = find(state, host);
    return item == nullptr ? std::string() : item->m_member.m_address;
}

void spread_changes(view& state, time_point now, random_engine& random, effects& out)
{
    if (now < state.m_gossip_at) {
        return;
    }
    state.m_gossip_at = now + state.m_options.m_gossip;
    const auto deltas = take_fresh(state);
    if (deltas.empty()) {
        return;
    }
    auto targets = state.m_near_partners;
    targets.insert(targets.end(), state.m_far_partners.begin(), state.m_far_partners.end());
    for (std::uint32_t i = 0; i < state.m_options.m_fanout && !targets.empty(); ++i) {
        const auto chosen = uniform_below(random, targets.size());
        auto message = make_message(state, now);
        message.m_deltas = deltas;
        out.m_sends.push_back({address_of(state, targets[chosen]), std::move(message)});
        targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(chosen));
    }
}

/// Compares with one peer of the own domain and one of another.
void send_digests(view& state, time_point now, random_engine& random, effects& out)
{
    if (now < state.m_digest_at) {
        return;
    }
    state.m_digest_at = now + state.m_options.m_digest;
    for (const auto* targets : {&state.m_near_partners, &state.m_far_partners}) {
        if (!targets->empty()) {
            auto message = make_message(state, now);
            message.m_digest = whole_digest(state);
            const auto& chosen = (*targets)[uniform_below(random, targets->size())];
            out.m_sends.push_back({address_of(state, chosen), std::move(message)});
        }
    }
}

}  // namespace

void announce_self(view& state, const member& self, time_point now)
{
    (void)now;
    auto renewed = self;
    renewed.m_host = state.m_self.m_host;
    renewed.m_incarnation = state.m_self.m_incarnation;
    renewed.m_sequence = state.m_self.m_sequence + 1;
    replace_self(state, renewed);
}

void leave(view& state, time_point now)
{
    auto self = state.m_self;
    self.m_leaving = true;
    announce_self(state, self, now);
}

effects receive(view& state, const gossip& message, time_point now)
{
    effects out;
    note_origin(state, message, now);
    auto answer = make_message(state, now);
    const auto sequence_before = state.m_self.m_sequence;
    take_deltas(state, message, now, answer, out);
    if (message.m_heartbeat) {
        take_heartbeat(state, message, now, answer);
    }
    if (spreads(state.m_self.m_role)) {
        compare(state, message, answer);
    }
    if (message.m_wants_domain) {
        add_domain(state, message.m_failure_domain, answer);
    }
    const bool is_defended =
        out.m_has_new_incarnation || state.m_self.m_sequence != sequence_before;
    if (message.m_wants_self || is_defended) {
        answer.m_deltas.push_back(state.m_self);
    }
    if (message.m_domain_digest && message.m_failure_domain == state.m_self.m_failure_domain) {
        answer.m_wants_domain =
            !spreads(state.m_self.m_role) && *message.m_domain_digest != state.m_domain_digest;
    }
    if (has_content(answer) && !message.m_reply_to.empty()) {
        out.m_sends.push_back({message.m_reply_to, std::move(answer)});
    }
    return out;
}

void put_off_leases(view& state, time_span held_up, time_point now)
{
    for (const auto& host : state.m_watched) {
        const auto place = state.m_records.find(host);
        if (place == state.m_records.end() || place->second.m_member.m_dead) {
            continue;
        }
        auto& item = place->second;
        auto& lease = item.m_member.m_lease_deadline;
        lease = put_off(lease, held_up, now + state.m_options.m_lease);
        item.m_dead_at = put_off(item.m_dead_at, held_up, now + state.m_options.m_suspicion);
    }
}

effects tick(view& state, time_point now, random_engine& random)
{
    effects out;
    if (now >= state.m_digest_at) {
        forget_dead(state, now);
    }
    refresh_drawn(state, now);
    check_leases(state, now, out);
    send_heartbeats(state, now, out);
    if (spreads(state.m_self.m_role)) {
        spread_changes(state, now, random, out);
        send_digests(state, now, random, out);
    }
    return out;
}

}  // namespace dewbeam::membership
