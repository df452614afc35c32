/// \file
/// The processes that watch the registries, so that a registry can reach one that lost all of them.
///
/// A follower knows the registries that it has heard of. One that is partitioned away or suspended
/// while all of them are replaced knows only addresses that nobody listens at any more. Registries
/// therefore remember where their followers listen, tell each other, and invite those that don't
/// watch them:
///
///     note_watch(table, {address, host}, now);
///     for (const auto& silent : take_due_invitations(table, now)) invite(silent);
///
/// A registry is a follower, too: it may be partitioned away while the others are replaced.
#pragma once

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/base"

namespace dewbeam::registrar {

/// How long a registry waits for a follower's next watch before it invites the follower.
inline constexpr time_span invitation_delay = std::chrono::seconds(2);
/// Time between two invitations of one follower.
inline constexpr time_span invitation_interval = std::chrono::milliseconds(500);
/// Followers that are invited within one interval; where more are silent, they take turns.
inline constexpr std::size_t max_invitations = 32;
/// A follower that watched no registry for this long is forgotten.
inline constexpr time_span follower_retention = std::chrono::hours(1);
inline constexpr std::size_t max_followers = 4096;

/// Where a follower listens, and its host: another process may take over the address.
struct follower_place {
    std::string m_address;  ///< link address
    host_id m_host;

    friend bool operator==(const follower_place&, const follower_place&) = default;
};

/// What a registry knows of a follower.
struct follower {
    host_id m_host;
    time_point m_seen_at{};                  ///< last watch that any registry received
    time_point m_invite_at{};                ///< next invitation
    std::optional<time_point> m_invited_at;  ///< last invitation since the last watch
    bool m_is_handed_on = false;             ///< the other registries were told
};

/// All followers that a registry knows.
struct follower_table {
    std::unordered_map<std::string, follower> m_followers;  ///< by link address
    time_point m_next_round{};                              ///< of invitations
    std::uint64_t m_places_changed = 0;  ///< counts changes of addresses and hosts
};

/// Records a watch. Returns whether the follower had been invited.
bool note_watch(follower_table& table, const follower_place& place, time_point now);

/// Records a follower that another registry, or an earlier life of this one, saw `age` ago.
void note_follower(follower_table& table, const follower_place& place, time_span age,
                   time_point now);

/// Whether this registry misses watches of a follower.
bool is_silent(const follower& subject, time_point now);

/// The followers to invite now, the longest uninvited first. Forgets those that are too old.
std::vector<follower_place> take_due_invitations(follower_table& table, time_point now);

/// Postpones invitations by the time for which this registry read no messages.
void postpone_invitations(follower_table& table, time_span held_up);

/// Writes all followers.
void put_all_followers(const follower_table& table, time_point now, wire::RegistrySync& sync);

/// Writes the followers that the other registries were not told yet, for a message to all of them.
void put_new_followers(follower_table& table, time_point now, wire::RegistrySync& sync);

/// Records the followers in a message of another registry.
void take_followers(follower_table& table, const wire::RegistrySync& sync, time_point now);

/// Whether an invitation is meant for the process on `own_host`. Its sender must follow a log: one
/// that doesn't may belong to another deployment.
bool is_for(const wire::WatchInvitation& invitation, std::uint64_t log, std::string_view own_host);

/// The addresses and hosts of all followers as JSON text, for the data folder.
std::string to_json(const follower_table& table);

/// The places in a text that `to_json` wrote; what can't be read is logged and left out.
std::vector<follower_place> parse_followers(std::string_view text);

}  // namespace dewbeam::registrar
