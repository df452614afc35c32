/// \file
/// One process's view of all members, and how two claims about a member are settled.
///
/// A later incarnation wins. Inside one incarnation death is final, then the greater sequence
/// wins, then suspicion. A member that hears itself suspected answers with a greater sequence; one
/// that hears itself dead takes a new incarnation.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/src/membership/member.h"

namespace dewbeam::membership {

/// Limits of the protocol.
struct view_options {
    time_span m_heartbeat = std::chrono::seconds(1);
    time_span m_lease = std::chrono::seconds(3);
    time_span m_suspicion = std::chrono::seconds(2);  ///< what a suspect has to answer in
    time_span m_gossip = std::chrono::milliseconds(200);
    time_span m_digest = std::chrono::seconds(1);
    time_span m_domain_silence = std::chrono::seconds(5);
    time_span m_dead_memory = std::chrono::hours(24);  ///< how long a death is remembered
    std::uint32_t m_watchers = 3;
    std::uint32_t m_fanout = 3;
    std::uint32_t m_rounds = 5;        ///< gossip rounds in which one process passes a change on
    std::uint32_t m_most_deltas = 24;  ///< in one message
    std::uint32_t m_partners = 4;      ///< to gossip with, in the own domain and as many outside
    time_span m_partnership = std::chrono::minutes(5);  ///< then others are drawn
    std::vector<std::string> m_seeds;  ///< link addresses to try while nobody is known
};

/// Parts of the digest; two views that differ exchange only the parts that differ.
inline constexpr std::size_t digest_parts = 64;
/// One hash for each part.
using part_digests = std::array<std::uint32_t, digest_parts>;

/// A member and what this process does about it.
struct record {
    member m_member;
    std::uint64_t m_hash = 0;            ///< of the host's name
    std::uint32_t m_rounds_left = 0;     ///< in which it is still passed on
    bool m_is_watched = false;           ///< this process keeps its lease
    time_point m_dead_at = no_deadline;  ///< of a watched suspect
};

/// When a failure domain was last heard from.
struct domain_contact {
    failure_domain_id m_failure_domain;
    time_point m_heard_at{};
};

/// State of one process's membership.
struct view {
    view_options m_options;
    member m_self;
    std::map<host_id, record> m_records;  ///< of all others; the dead too, for a while
    std::vector<domain_contact> m_contacts;
    time_point m_quorum_heard_at{};
    bool m_has_heard_quorum = false;
    std::vector<host_id> m_fresh;    ///< records that are still passed on
    std::vector<host_id> m_watched;  ///< records whose lease this process keeps
    time_point m_refresh_at{};       ///< when stale watches and partners may be drawn anew
    bool m_are_watchers_stale = true;
    bool m_are_partners_stale = true;
    std::vector<host_id> m_near_partners;  ///< of the own domain
    std::vector<host_id> m_far_partners;   ///< of other domains
    time_point m_partners_until{};
    std::vector<host_id> m_own_watchers;
    std::vector<host_id> m_told_watchers;  ///< that were sent the current sequence
    std::uint64_t m_told_sequence = 0;
    part_digests m_parts{};             ///< of all records and self
    std::uint64_t m_domain_digest = 0;  ///< of the own domain's entries and controls
    time_point m_heartbeat_at{};
    time_point m_gossip_at{};
    time_point m_digest_at{};
};

/// A view that knows only its own process.
view make_view(const view_options& options, const member& self, time_point now);

/// Whether claim `a` settles claim `b` about the same host.
bool supersedes(const member& a, const member& b);

/// Every member that is not held dead, self included, by host.
std::vector<member> members(const view& state);

/// The record of a host, or null.
const record* find(const view& state, const host_id& host);

/// What this process can hear, told truthfully on status pages.
struct reachability {
    struct domain {
        failure_domain_id m_name;
        time_point m_heard_at{};
        bool m_is_reachable = false;
    };
    std::vector<domain> m_domains;  ///< the other failure domains that are known, by name
    bool m_hears_quorum = false;    ///< a majority of control lives and can be heard of
    bool m_hears_own_domain = false;
    bool m_is_cut_off = false;  ///< there are other domains and none can be heard, or no quorum
};

/// What can be heard at `now`.
reachability reach(const view& state, time_point now);

/// Whether a member's domain can be heard: a member of a silent domain is neither alive nor dead.
bool is_reachable(const view& state, const member& item, time_point now);

/// This process is part of a majority of control at `now`.
void note_quorum(view& state, time_point now);

/// Whether a process of this role passes changes on.
bool spreads(role value);

namespace internal {
/// Takes a claim in; false where the view already held something that settles it.
bool merge(view& state, const member& claim, time_point now);
/// Changes the own announcement and its digest.
void replace_self(view& state, const member& self);
/// Notes that a domain was heard at `at`.
void note_contact(view& state, const failure_domain_id& domain, time_point at);
/// One hash over all parts.
std::uint64_t whole_digest(const view& state);
/// The part that a host belongs to.
std::size_t part_of(std::uint64_t host_hash);
/// A live member and the hash of its host's name.
struct candidate {
    std::uint64_t m_hash = 0;
    host_id m_host;
};
/// The live entries of the own domain, self included.
std::vector<candidate> watcher_candidates(const view& state);
/// The `count` of `candidates`, `host` itself left out, that come first by rendezvous hashing.
std::vector<host_id> first_by_rendezvous(const host_id& host, std::uint64_t salt,
                                         const std::vector<candidate>& candidates,
                                         std::size_t count);
}  // namespace internal

}  // namespace dewbeam::membership
