#include "dewbeam/src/membership/view.h"

#include <algorithm>
#include <tuple>

namespace dewbeam::membership {

namespace {

/// What two views must agree on; heartbeats are left out. Suspicion is not: one that its subject
/// never heard of would otherwise stay.
std::uint64_t digest_of(const member& item, std::uint64_t host_hash)
{
    const std::uint64_t sequence = item.m_dead ? 0 : item.m_sequence + 1;
    const std::uint64_t state = 2 * sequence + (item.m_suspect && !item.m_dead ? 1 : 0);
    return combine_hash(combine_hash(host_hash, item.m_incarnation.value()), state);
}

bool is_domain_contact(const view& state, const member& item)
{
    return spreads(item.m_role) && !item.m_dead &&
           item.m_failure_domain == state.m_self.m_failure_domain;
}

/// Adds or takes out one member; the same call undoes itself.
void toggle_digest(view& state, const member& item, std::uint64_t host_hash)
{
    const auto digest = digest_of(item, host_hash);
    state.m_parts[internal::part_of(host_hash)] ^= static_cast<std::uint32_t>(digest);
    if (is_domain_contact(state, item)) {
        state.m_domain_digest ^= digest;
    }
}

/// A member whose announcements this process keeps.
bool is_in_scope(const view& state, const member& item)
{
    return spreads(state.m_self.m_role) ||
           (spreads(item.m_role) && item.m_failure_domain == state.m_self.m_failure_domain);
}

bool is_live_entry(const member& item)
{
    return item.m_role == role::entry && !item.m_dead && !item.m_leaving;
}

/// A candidate and its place in the rendezvous.
struct placed_candidate {
    std::uint64_t m_score = 0;
    const host_id* m_host = nullptr;
};

}  // namespace

bool spreads(role value)
{
    return value != role::agent;
}

view make_view(const view_options& options, const member& self, time_point now)
{
    view state;
    state.m_options = options;
    state.m_self = self;
    state.m_self.m_sequence = std::max<std::uint64_t>(1, self.m_sequence);
    toggle_digest(state, state.m_self, stable_hash(self.m_host.value()));
    state.m_heartbeat_at = now;
    state.m_gossip_at = now;
    state.m_digest_at = now;
    return state;
}

bool supersedes(const member& a, const member& b)
{
    if (a.m_incarnation != b.m_incarnation) {
        return a.m_incarnation > b.m_incarnation;
    }
    if (a.m_dead || b.m_dead) {
        return a.m_dead && !b.m_dead;
    }
    return std::tie(a.m_sequence, a.m_suspect) > std::tie(b.m_sequence, b.m_suspect);
}

std::vector<member> members(const view& state)
{
    std::vector<member> all{state.m_self};
    for (const auto& [host, item] : state.m_records) {
        if (!item.m_member.m_dead) {
            all.push_back(item.m_member);
        }
    }
    std::sort(all.begin(), all.end(),
              [](const member& a, const member& b) { return a.m_host < b.m_host; });
    return all;
}

const record* find(const view& state, const host_id& host)
{
    const auto place = state.m_records.find(host);
    return place == state.m_records.end() ? nullptr : &place->second;
}

reachability reach(const view& state, time_point now)
{
    reachability result;
    bool hears_any = false;
    for (const auto& contact : state.m_contacts) {
        const bool is_fresh = now - contact.m_heard_at < state.m_options.m_domain_silence;
        if (contact.m_failure_domain == state.m_self.m_failure_domain) {
            result.m_hears_own_domain = is_fresh;
            continue;
        }
        result.m_domains.push_back({contact.m_failure_domain, contact.m_heard_at, is_fresh});
        hears_any = hears_any || is_fresh;
    }
    result.m_hears_quorum = state.m_has_heard_quorum &&
                            now - state.m_quorum_heard_at < state.m_options.m_domain_silence;
    result.m_is_cut_off = !result.m_hears_quorum || (!result.m_domains.empty() && !hears_any);
    return result;
}

bool is_reachable(const view& state, const member& item, time_point now)
{
    if (item.m_failure_domain == state.m_self.m_failure_domain) {
        return true;
    }
    for (const auto& contact : state.m_contacts) {
        if (contact.m_failure_domain == item.m_failure_domain) {
            return now - contact.m_heard_at < state.m_options.m_domain_silence;
        }
    }
    return false;
}

void note_quorum(view& state, time_point now)
{
    state.m_quorum_heard_at = std::max(state.m_quorum_heard_at, now);
    state.m_has_heard_quorum = true;
}

namespace internal {

std::size_t part_of(std::uint64_t host_hash)
{
    return host_hash % digest_parts;
}

bool merge(view& state, const member& claim, time_point now)
{
    const auto place = state.m_records.find(claim.m_host);
    const bool is_known = place != state.m_records.end();
    const bool is_news = !is_known || supersedes(claim, place->second.m_member);
    if (claim.m_host == state.m_self.m_host || !is_in_scope(state, claim) || !is_news) {
        return false;
    }
    const bool is_forgotten = claim.m_dead && claim.m_lease_deadline <= now;
    if (is_forgotten) {
        return false;
    }
    auto& item = is_known ? place->second : state.m_records[claim.m_host];
    if (is_known) {
        toggle_digest(state, item.m_member, item.m_hash);
    }
    const bool was_live_entry = is_known && is_live_entry(item.m_member);
    const bool was_dead = is_known && item.m_member.m_dead;
    const auto load = item.m_member.m_load;
    item.m_member = claim;
    item.m_member.m_load = load;
    item.m_hash = stable_hash(claim.m_host.value());
    if (item.m_rounds_left == 0) {
        state.m_fresh.push_back(claim.m_host);
    }
    item.m_rounds_left = state.m_options.m_rounds;
    item.m_dead_at = claim.m_suspect ? now + state.m_options.m_suspicion : no_deadline;
    toggle_digest(state, item.m_member, item.m_hash);
    const bool is_new_watch =
        !is_known || was_live_entry != is_live_entry(claim) || was_dead != claim.m_dead;
    state.m_are_watchers_stale = state.m_are_watchers_stale || is_new_watch;
    const bool is_new_partner = spreads(claim.m_role) && (!is_known || was_dead != claim.m_dead);
    state.m_are_partners_stale = state.m_are_partners_stale || is_new_partner;
    if (item.m_is_watched && !claim.m_suspect && !claim.m_dead) {
        item.m_member.m_lease_deadline = now + state.m_options.m_lease;
    }
    return true;
}

void replace_self(view& state, const member& self)
{
    const auto hash = stable_hash(state.m_self.m_host.value());
    toggle_digest(state, state.m_self, hash);
    state.m_self = self;
    toggle_digest(state, state.m_self, hash);
    state.m_told_watchers.clear();
    state.m_heartbeat_at = time_point{};
}

void note_contact(view& state, const failure_domain_id& domain, time_point at)
{
    for (auto& contact : state.m_contacts) {
        if (contact.m_failure_domain == domain) {
            contact.m_heard_at = std::max(contact.m_heard_at, at);
            return;
        }
    }
    state.m_contacts.push_back({domain, at});
    std::sort(state.m_contacts.begin(), state.m_contacts.end(),
              [](const domain_contact& a, const domain_contact& b) {
                  return a.m_failure_domain < b.m_failure_domain;
              });
}

std::uint64_t whole_digest(const view& state)
{
    std::uint64_t digest = 0;
    for (const auto part : state.m_parts) {
        digest = combine_hash(digest, part);
    }
    return digest;
}

std::vector<candidate> watcher_candidates(const view& state)
{
    std::vector<candidate> candidates;
    const auto consider = [&](const member& item, std::uint64_t hash) {
        if (is_live_entry(item) && item.m_failure_domain == state.m_self.m_failure_domain) {
            candidates.push_back({hash, item.m_host});
        }
    };
    consider(state.m_self, stable_hash(state.m_self.m_host.value()));
    for (const auto& [name, item] : state.m_records) {
        consider(item.m_member, item.m_hash);
    }
    return candidates;
}

std::vector<host_id> first_by_rendezvous(const host_id& host, std::uint64_t salt,
                                         const std::vector<candidate>& candidates, std::size_t most)
{
    const auto hash = stable_hash(host.value(), salt);
    std::vector<placed_candidate> placed;
    for (const auto& item : candidates) {
        if (item.m_host != host) {
            placed.push_back({combine_hash(item.m_hash, hash), &item.m_host});
        }
    }
    const auto count = std::min(most, placed.size());
    const auto comes_first = [](const placed_candidate& a, const placed_candidate& b) {
        return a.m_score != b.m_score ? a.m_score > b.m_score : *a.m_host < *b.m_host;
    };
    std::partial_sort(placed.begin(), placed.begin() + static_cast<std::ptrdiff_t>(count),
                      placed.end(), comes_first);
    std::vector<host_id> first;
    for (std::size_t i = 0; i < count; ++i) {
        first.push_back(*placed[i].m_host);
    }
    return first;
}

}  // namespace internal

}  // namespace dewbeam::membership
