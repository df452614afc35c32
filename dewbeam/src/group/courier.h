/// \file
/// The ways of messages inside a lock-step group, through relays where it is large.
///
/// Ranks are dealt into blocks of about the square root of their number. The coordinator sends the
/// commands for a block as one bundle to the block's relay, which passes them on and gathers the
/// reports: one host's link and processor carry a message for each block in place of one for each
/// rank. A relay may be lost with all that it holds. Whatever stays unanswered is repeated, and
/// repeats go straight to their ranks.
///
/// \code
/// for (const auto& item : group::send_commands(way, std::move(commands), now).m_parcels) {
///     node.send(members[item.m_to.value()], to_envelope(item));
/// }
/// \endcode
#pragma once

#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/base"

namespace dewbeam::group {

/// Something to send over the link.
struct parcel {
    rank_id m_to;
    std::variant<wire::GroupMessage, wire::GroupBundle> m_body;
};

/// What comes of a step of the courier.
struct deliveries {
    std::vector<wire::GroupMessage> m_own;  ///< for this rank
    std::vector<parcel> m_parcels;
    std::vector<rank_id> m_lost_relays;  ///< that are not used for a while
};

/// A command and whether it was sent before.
struct outgoing_command {
    wire::GroupMessage m_message;
    bool m_is_repeat = false;
    bool m_is_sign_of_life = false;  ///< the rank has answered before
};

/// State of one rank's courier.
struct courier {
    std::string m_group;
    rank_id m_self;
    std::uint32_t m_ranks = 0;
    /// At the coordinator, by rank: a relay that left its block unanswered isn't used before.
    std::vector<time_point> m_unused_until;
    std::uint32_t m_turn = 0;  ///< at the coordinator: which ranks of the blocks are relays
    /// Where reports go: to the relay that passed the last command on; none: to the coordinator.
    std::optional<rank_id> m_reports_through;
    std::set<std::uint32_t> m_awaited;  ///< at a relay: ranks whose reports have not come
    wire::GroupBundle m_gathered;       ///< at a relay: reports to be sent
    rank_id m_gathered_for;             ///< the coordinator
};

/// A courier of a process that starts.
courier make_courier(std::string group, rank_id self, std::uint32_t ranks);

/// How many ranks a block has; all of them where the group needs no relays.
std::uint32_t block_size(std::uint32_t ranks);

/// How many ranks or relays speak to the coordinator.
std::uint32_t tellers(std::uint32_t ranks);

/// How many ranks of `rank`'s block are not the coordinator.
std::uint32_t block_followers(std::uint32_t ranks, rank_id rank, rank_id coordinator);

/// The relay to which the coordinator gives commands for a rank; none: straight to the rank.
std::optional<rank_id> relay_of(const courier& state, rank_id rank, time_point now);

/// Commands of the coordinator's.
deliveries send_commands(courier& state, std::vector<outgoing_command> commands, time_point now);

/// A report of this rank's.
deliveries send_report(courier& state, wire::GroupMessage report);

/// Something arrived.
deliveries take(courier& state, wire::GroupMessage message);
deliveries take(courier& state, const wire::GroupBundle& bundle);

/// Time passed: what was gathered goes out, though some reports are missing.
deliveries flush(courier& state);

}  // namespace dewbeam::group
