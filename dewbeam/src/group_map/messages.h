/// \file
/// The expert map protocol: what the agents of a group say to each other and to their engines.
///
/// The group is its own quorum, since all ranks must step together. One agent coordinates; each
/// agent is the participant for its rank. A change of the map goes through four rounds, each
/// answered by all ranks: `collect` and `confirm` (once for a coordinator), `stage`, `arm`,
/// `commit`. No process outside the group takes part and nothing is written to a disk: what must
/// survive an agent is held by the engine beside it, and agents ask the engine.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::group_map {

/// Number of a lock-step step of the group.
using step_number = strong<struct step_tag, std::uint64_t>;
/// Number of a command inside an epoch; a rank never obeys a lower one than it has obeyed.
using round_number = strong<struct round_tag, std::uint64_t>;

/// Names one expert map: two maps of the same number but other content never compare equal.
struct map_id {
    std::uint64_t m_number = 0;  ///< 0: the map that the engine starts with
    fingerprint m_content;

    friend auto operator<=>(const map_id&, const map_id&) = default;
};

/// A map in the engine's own form; shared, since it goes to every rank.
using map_content = std::shared_ptr<const std::string>;

/// From which step on a map is used.
struct switch_point {
    map_id m_map;
    step_number m_step;

    friend auto operator<=>(const switch_point&, const switch_point&) = default;
};

/// One reign of one coordinator. No two coordinators have the same: a rank and its incarnation
/// count their own numbers up, and candidates use different numbers.
struct epoch {
    std::uint64_t m_number = 0;
    rank_id m_rank;
    incarnation m_incarnation;

    friend auto operator<=>(const epoch&, const epoch&) = default;
};

/// How many fencing numbers an epoch has for the orders to each rank. Epochs count seconds and
/// fencing numbers microseconds of the wall clock, so that both exceed those of earlier processes.
inline constexpr std::uint64_t orders_per_epoch = 1'000'000;

/// The fencing number below those of an epoch's orders. An engine that has carried out an order of
/// an epoch refuses all orders of lower epochs.
fencing_number fencing_base(std::uint64_t epoch_number);

/// The lowest epoch number whose orders exceed a fencing number.
std::uint64_t min_epoch_above(fencing_number highest);

/// The life in which a participant gave its word; its word ends with it. Later lives of a rank
/// compare greater.
struct participant_life {
    incarnation m_agent;
    incarnation m_group;  ///< of the engines: all of a group restart together

    friend auto operator<=>(const participant_life&, const participant_life&) = default;
};

/// What an engine says of itself. It survives the agent, so it is the memory of the protocol.
struct engine_state {
    incarnation m_group;
    step_number m_step;  ///< the first step not begun yet
    map_id m_current;
    map_id m_staged;
    std::optional<switch_point> m_armed;  ///< the engine begins no step from there on ...
    bool m_switching = false;             ///< ... until it was told to switch
    bool m_can_hold = true;               ///< whether the engine can hold at a step
    bool m_busy = false;                  ///< it or the agent before it has unfinished requests

    friend bool operator==(const engine_state&, const engine_state&) = default;
};

/// The map that the engine uses now, or certainly will from its switch step on.
map_id settled_map(const engine_state& engine);

/// What an engine can be told. Each answer brings the engine's state.
enum class order_kind {
    read,        ///< only answer
    stage,       ///< fetch the weights that the map needs and the engine lacks
    hold,        ///< begin no step from the switch step on; refused once that step has begun
    switch_map,  ///< use the armed map from the switch step on; without hold: use it now
    release,     ///< forget the armed switch, if it is this one
};

/// Term of an order for logs.
const char* to_string(order_kind value);

/// An order to the engine beside the agent.
struct engine_order {
    order_kind m_kind = order_kind::read;
    fencing_number m_number;
    incarnation m_group;  ///< of the engines for which it was decided; 0: of any
    switch_point m_target;
    map_content m_content;          ///< of `stage`
    bool m_raises_fencing = false;  ///< of `read`: lower numbers are refused from then on
};

/// The engine's answer.
struct engine_answer {
    fencing_number m_number;  ///< of the order
    bool m_accepted = true;
    fencing_number m_highest;  ///< highest number seen; 0 from an engine that ignores numbers
    engine_state m_state;
};

/// What a coordinator tells a rank.
enum class command_kind {
    collect,  ///< obey this epoch and no lower one, and tell your state
    confirm,  ///< tell your state if you still obey this epoch; also the heartbeat
    stage,
    arm,     ///< hold at the switch step; without hold: admit nothing and run dry
    commit,  ///< switch
    release  ///< go on with the settled map
};

/// Term of a command for logs.
const char* to_string(command_kind value);

/// Coordinator to rank.
struct command {
    command_kind m_kind = command_kind::collect;
    epoch m_epoch;
    round_number m_round;
    rank_id m_to;
    participant_life m_life;  ///< the life that is meant; not set in `collect`
    switch_point m_target;
    map_content m_content;           ///< of `stage`
    bool m_is_repeat = false;        ///< the first copy brought no answer so far
    bool m_is_sign_of_life = false;  ///< the rank has answered; only shows who coordinates
};

/// Rank to coordinator: the command of `m_round` is carried out, or refused.
struct report {
    rank_id m_from;
    rank_id m_to;
    epoch m_promised;  ///< the epoch that the rank obeys, or the lowest that it would obey
    round_number m_round;
    participant_life m_life;
    bool m_refused = false;
    engine_state m_engine;
};

}  // namespace dewbeam::group_map
