/// \file
/// A rank's side of the expert map protocol.
///
/// It obeys the highest epoch it has met in this life, carries out one command at a time, and has
/// at most one order with its engine. An agent that restarts knows nothing: it first learns from
/// the engine what holds there.
///
/// A rank may have several executors: its agent, and substitutes at coordinators. The fencing
/// numbers of orders follow from the epoch that they serve, and a participant raises its engine's
/// number before it reports the state that a new epoch decides on. From then on no order of an
/// earlier epoch changes that state, whoever sends it. A participant whose engine has seen a higher
/// number gives no further order in its epoch; it asks for a higher one. With an engine that
/// ignores numbers, it waits until earlier orders have run out.
#pragma once

#include "dewbeam/src/group_map/messages.h"

namespace dewbeam::group_map {

/// Limits and identity of a participant.
struct participant_options {
    rank_id m_rank;
    incarnation m_incarnation;
    /// Above the numbers of earlier processes, if clocks agree: the wall clock time of the start.
    fencing_number m_first_order;
    bool m_checks_fencing = true;  ///< whether the engine refuses old fencing numbers
    time_span m_answer_limit = std::chrono::milliseconds(500);  ///< then an answer counts as lost
    time_span m_order_lifetime = std::chrono::seconds(3);  ///< an order can't land later than this
    time_span m_poll_interval = std::chrono::milliseconds(20);  ///< while staging or running dry
    time_span m_silence_limit = std::chrono::seconds(3);        ///< without a coordinator
};

/// The state of a participant.
struct participant {
    participant_options m_options;
    epoch m_promised;
    std::uint64_t m_min_epoch = 0;  ///< lower epochs have numbers that the engine refuses
    round_number m_round;
    std::optional<command> m_goal;         ///< the latest command obeyed
    std::optional<report> m_done;          ///< its report, once it is carried out
    std::optional<engine_state> m_engine;  ///< as last read
    bool m_must_read = true;               ///< the engine may have changed since
    bool m_must_fence = false;             ///< orders of earlier epochs may still land
    std::optional<engine_order> m_order;   ///< that waits for its answer
    bool m_order_serves_goal = false;      ///< it was made for `m_goal`, not only to read
    bool m_order_serves_epoch = false;     ///< it was made in the epoch that is obeyed
    fencing_number m_last_order;
    time_point m_answer_deadline = no_deadline;
    time_point m_quiet_at{};               ///< from then on no lost order can land
    time_point m_requests_landed_at{};     ///< no request of an earlier life lands from then on
    time_point m_poll_at = no_deadline;    ///< when to look at the engine again
    time_point m_silent_at = no_deadline;  ///< when the coordinator counts as gone
    bool m_open = false;                   ///< admits requests, where the engine can't hold
};

/// What the agent must do, in this order.
struct participant_effects {
    bool m_close_connection = false;  ///< to the engine: an answer on it came too late
    std::optional<engine_order> m_order;
    std::optional<report> m_report;
};

/// A participant of an agent that starts; the first tick asks the engine.
participant start_participant(const participant_options& options, time_point now);

/// A command arrived.
participant_effects receive(participant& state, const command& message, time_point now);

/// The engine answered.
participant_effects answered(participant& state, const engine_answer& answer, time_point now);

/// Time passed.
participant_effects tick(participant& state, time_point now);

/// Whether a request may be given to the engine. Always true where the engine holds by itself.
bool may_admit(const participant& state);

/// Whether no coordinator was heard of for so long that another rank should step in.
bool coordinator_silent(const participant& state, time_point now);

/// This process was held up for so long: that time is no silence of the coordinator.
void put_off_silence(participant& state, time_span held_up, time_point now);

}  // namespace dewbeam::group_map
