/// \file
/// The coordinator's side of the expert map protocol.
///
/// Rank 0's agent coordinates from its start; one of the next ranks steps in when its participant
/// has heard of no coordinator for long. Two coordinators do no harm: each takes a higher epoch
/// than it has met, and a rank obeys the highest.
///
/// A new coordinator collects from all ranks, then has all of them confirm. Promises die with an
/// agent, so the answers of the first round may stem from different times; once all have confirmed
/// in the same lives there was a moment at which every rank obeyed this epoch, and whatever an
/// earlier coordinator still sends is refused by all. Only then it decides: if a rank has
/// switched, all must (the earlier coordinator saw all of them armed); otherwise none will.
#pragma once

#include "dewbeam/src/group_map/messages.h"

namespace dewbeam::group_map {

/// What a coordinator is doing; each phase but the first and last waits for all ranks.
enum class phase {
    inactive,    ///< another rank coordinates
    collecting,  ///< first round of a new epoch
    confirming,  ///< second round of a new epoch
    settled,     ///< all ranks use one map, heartbeats go out
    staging,
    arming,
    committing,
    releasing,  ///< a change is given up, or admission starts again
    broken,     ///< the engines hold maps that no run of the protocol leaves: they must restart
};

/// Term of a phase for logs.
const char* to_string(phase value);

/// Limits and identity of a coordinator.
struct coordinator_options {
    rank_id m_rank;
    incarnation m_incarnation;
    /// Above the epochs of earlier processes, if clocks agree. Otherwise ranks ask for higher ones.
    std::uint64_t m_first_epoch = 0;
    std::uint32_t m_ranks = 1;
    /// Ranks that step in where they hear of no coordinator: the first ones.
    std::uint32_t m_candidates = 3;
    time_span m_resend_interval = std::chrono::milliseconds(100);
    /// The same while ranks are told the content of a map to fetch.
    time_span m_stage_resend_interval = std::chrono::milliseconds(100);
    time_span m_heartbeat_interval = std::chrono::seconds(1);
    time_span m_stage_limit = std::chrono::minutes(10);
    time_span m_arm_limit = std::chrono::seconds(2);  ///< the longest hold before it is given up
    /// The longest to run dry, for an engine that can't hold at a step.
    time_span m_drain_limit = std::chrono::minutes(2);
    /// Steps from the newest known to the switch, at most and where their time isn't known.
    std::uint64_t m_first_margin = 4;
    /// What arming and committing take at least; no more steps than they took lately lie before
    /// the switch.
    time_span m_switch_time = std::chrono::milliseconds(70);
    std::uint32_t m_most_tries = 6;  ///< the margin doubles with each
    /// Give each proposal a number that no other proposal of any coordinator has, above all that
    /// the ranks have met, and let the number alone name the content. For engines that refuse a
    /// number twice and tell nothing of a map but its number.
    bool m_unique_numbers = false;
};

/// What the coordinator knows of a rank.
struct rank_view {
    std::optional<participant_life> m_life;  ///< in this epoch
    bool m_answered = false;                 ///< in this round
    engine_state m_engine;
};

/// When a change of the map reached its stages; `no_deadline`: not reached.
struct change_times {
    time_point m_proposed = no_deadline;
    time_point m_staged = no_deadline;  ///< all ranks hold the map's weights
    time_point m_armed = no_deadline;   ///< all ranks hold at the switch step (the last try)
    time_point m_ended = no_deadline;
};

/// The state of a coordinator.
struct coordinator {
    coordinator_options m_options;
    phase m_phase = phase::inactive;
    epoch m_epoch;
    std::uint64_t m_highest_epoch = 0;  ///< number of the highest epoch met
    round_number m_round;
    command_kind m_command = command_kind::collect;  ///< of this round
    std::vector<rank_view> m_ranks;
    std::uint32_t m_missing = 0;  ///< ranks that have not answered in this round
    map_id m_settled;
    switch_point m_target;
    map_content m_content;
    std::uint64_t m_looked_step = 0;  ///< the newest step ...
    time_point m_looked_at{};         ///< ... when it was looked at
    time_span m_switch_seen{};        ///< what arming and committing took lately
    time_span m_step_time{};          ///< of a step lately; zero: not known
    std::uint64_t m_margin = 0;
    std::uint32_t m_tries = 0;
    std::uint64_t m_last_number = 0;  ///< of the newest map proposed or met
    bool m_change_under_way = false;  ///< asked for by `propose`
    change_times m_times;             ///< of that change
    time_point m_resend_at = no_deadline;
    time_point m_next_sign_of_life = no_deadline;
    time_point m_round_deadline = no_deadline;
    time_point m_round_began{};
};

/// How a proposed change ended.
enum class change_result {
    none,
    committed,
    given_up,  ///< nothing changed: a rank could not stage or arm in time
    lost,      ///< this coordinator was deposed or began anew; the settled map tells
};

/// A proposed change that has ended.
struct ended_change {
    change_result m_result = change_result::none;
    map_id m_settled;  ///< the map that the ranks use now or certainly will
    change_times m_times;
};

/// What the agent must do.
struct coordinator_effects {
    std::vector<command> m_commands;
    ended_change m_change;
};

/// Low bits of a unique number, which tell proposals of different coordinators apart.
inline constexpr unsigned number_salt_bits = 20;

/// The name of a map that is known by its number alone.
map_id map_of_number(std::uint64_t number);

/// A coordinator of an agent that starts; inactive.
coordinator make_coordinator(const coordinator_options& options);

/// Starts a new epoch, above `highest` and all that were met.
coordinator_effects activate(coordinator& state, std::uint64_t highest, time_point now);

/// Starts a change to `content`; nothing happens unless the group is settled and staying so.
/// \returns whether the change was taken on
bool propose(coordinator& state, const map_content& content, time_point now,
             coordinator_effects& effects);

/// Ranks that owe the answer of a round that began more than `patience` ago. Their agents may be
/// gone or stand still, while their engines, and with them the group, wait for the next order.
std::vector<rank_id> late_ranks(const coordinator& state, time_span patience, time_point now);

/// A rank reported.
coordinator_effects receive(coordinator& state, const report& message, time_point now);

/// Time passed.
coordinator_effects tick(coordinator& state, time_point now);

}  // namespace dewbeam::group_map
