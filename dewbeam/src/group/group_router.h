/// \file
/// Message routing inside a lock-step group, through relays if the group is large.
///
/// Ranks are divided into blocks whose size is about the square root of their number. The
/// coordinator sends the commands for a block as one bundle to the block's relay, which forwards
/// them and gathers the reports. The coordinator's link and processor thus handle one message per
/// block instead of one per rank. A relay may be lost with all that it holds: unanswered commands
/// are repeated, and repeats go directly to their ranks, unless most ranks are missing. Relays are
/// then used for long enough to make new links before others are tried.
///
/// \code
/// for (const auto& item : group::send_commands(router, std::move(commands), now).m_outgoing) {
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

/// A message or bundle to send over the link, and its receiver.
struct addressed_message {
    rank_id m_to;
    std::variant<wire::GroupMessage, wire::GroupBundle> m_body;
};

/// Result of a step of the group router.
struct routing_result {
    std::vector<wire::GroupMessage> m_own;  ///< for this rank
    std::vector<addressed_message> m_outgoing;
    std::vector<rank_id> m_lost_relays;  ///< newly lost; not used for a while
};

/// A command of the coordinator.
struct outgoing_command {
    wire::GroupMessage m_message;
    bool m_is_repeat = false;        ///< it was sent before
    bool m_is_sign_of_life = false;  ///< the rank has answered; only shows who coordinates
};

/// State of one rank's group router.
struct group_router {
    std::string m_group;
    rank_id m_self;
    std::uint32_t m_ranks = 0;
    /// At the coordinator, by rank: a lost relay isn't used before this time.
    std::vector<time_point> m_relay_unused_until;
    std::vector<std::uint32_t> m_relay_offsets;  ///< at the coordinator: preferred relay by block
    time_point m_relays_due{};  ///< at the coordinator: silent relays are replaced from then on
    /// Receiver of reports: the relay that forwarded the last command; none: the coordinator.
    std::optional<rank_id> m_report_relay;
    std::set<std::uint32_t> m_awaited;     ///< at a relay: ranks whose reports are missing
    wire::GroupBundle m_gathered_reports;  ///< at a relay: reports to be forwarded
    rank_id m_gathered_coordinator;        ///< receiver of the gathered reports
};

/// The initial state of a router.
group_router make_group_router(std::string group, rank_id self, std::uint32_t ranks);

/// The number of ranks in a block; all of them if the group needs no relays.
std::uint32_t block_size(std::uint32_t ranks);

/// The number of ranks or relays that report to the coordinator.
std::uint32_t reporter_count(std::uint32_t ranks);

/// The number of ranks in `rank`'s block other than the coordinator.
std::uint32_t block_followers(std::uint32_t ranks, rank_id rank, rank_id coordinator);

/// The relay for the coordinator's commands to a rank; none: they go directly to the rank.
std::optional<rank_id> relay_of(const group_router& state, rank_id rank, time_point now);

/// Routes commands of the coordinator.
routing_result send_commands(group_router& state, std::vector<outgoing_command> commands,
                             time_point now);

/// Routes a report of this rank.
routing_result send_report(group_router& state, wire::GroupMessage report);

/// Handles a received message or bundle.
routing_result take(group_router& state, wire::GroupMessage message);
routing_result take(group_router& state, const wire::GroupBundle& bundle);

/// Sends the gathered reports, even if some are missing. Called periodically.
routing_result flush(group_router& state);

}  // namespace dewbeam::group
