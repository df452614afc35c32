/// \file
/// Runs the expert map protocol for one rank: messages over the link, orders over HTTP.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

#include "dewbeam/group_map"
#include "dewbeam/link"
#include "dewbeam/src/group/content_codec.h"
#include "dewbeam/src/group/engine_port.h"
#include "dewbeam/src/group/group_router.h"
#include "dewbeam/turns"

namespace dewbeam::group {

/// Options of a runner.
struct group_options {
    std::string m_group;                 ///< name; messages of other groups are dropped
    std::vector<std::string> m_members;  ///< link addresses by rank
    group_map::participant_options m_participant;
    group_map::coordinator_options m_coordinator;
    std::uint32_t m_candidates = 3;  ///< ranks that may coordinate: the first ones
    /// Set if engines accept orders from any host: gives the coordinator a port to another rank's
    /// engine, or none while the group isn't running. With it the coordinator substitutes for a
    /// rank whose agent's answer is overdue by `m_late_answer_timeout`. Otherwise a group that
    /// holds for a frozen agent would stall until that agent resumes.
    std::function<std::shared_ptr<engine_port>(rank_id)> m_make_port{};
    time_span m_late_answer_timeout = std::chrono::milliseconds(300);
};

/// Options of one rank. Incarnations, first epochs and first fencing numbers follow from the
/// process's start time, so that later incarnations have larger ones.
group_options make_group_options(std::string group, std::vector<std::string> members, rank_id rank,
                                 incarnation own, bool checks_fencing);

/// A route to a rank.
struct route {
    rank_id m_to;
    rank_id m_through;  ///< next hop: `m_to` or a relay
};

/// The routes to all receivers of a rank's reports.
struct coordinator_routes {
    bool m_has_coordinator = false;  ///< in contact; otherwise all candidates are listed
    std::vector<route> m_routes;
};

/// Callbacks to the agent that owns a runner; called without the runner's lock.
struct group_hooks {
    std::function<void(bool may_admit)> m_set_admission;
    std::function<bool()> m_is_busy;  ///< whether the agent has unfinished requests
    std::function<void(const group_map::ended_change&)> m_on_change;
};

/// Runs one rank's part of the protocol. Thread-safe.
class group_runner : public std::enable_shared_from_this<group_runner> {
public:
    /// `orders` connects to this rank's engine and is used only by this runner.
    group_runner(const group_options& options, group_hooks hooks,
                 std::shared_ptr<engine_port> orders, time_point now);

    /// Starts taking part in the group. `node` must outlive the runner.
    void start(link::node& node, time_point now);

    /// Handles a received message of the group, or a bundle of them.
    void on_message(const wire::GroupMessage& message, time_point now);
    void on_bundle(const wire::GroupBundle& bundle, time_point now);

    /// Does the periodic work.
    void tick(time_point now);

    /// Records contact with another rank's agent, which ends a substitution for it.
    void record_alive(rank_id rank, time_point now);

    /// Starts a change if this rank coordinates a settled group; returns whether it did.
    bool propose(const std::string& content, time_point now);

    /// Phase of this rank's coordinator.
    [[nodiscard]] group_map::phase current_phase() const;

    /// State of this rank's engine when last read; none before the first answer.
    [[nodiscard]] std::optional<group_map::engine_state> engine() const;

    /// The routes for reports to the coordinator. Without contact to a coordinator these lead to
    /// all candidates: one of them may be substituting for this rank and must learn that its agent
    /// is running again.
    [[nodiscard]] coordinator_routes routes_to_coordinator(time_point now) const;

    /// Whether requests may be sent to the engine.
    [[nodiscard]] bool may_admit() const;

    /// Stops sending orders and handling messages.
    void stop();

private:
    /// Actions for one rank's engine.
    struct engine_actions {
        std::shared_ptr<engine_port> m_port;
        rank_id m_rank;
        bool m_close_connection = false;
        std::optional<group_map::engine_order> m_order;
    };

    /// Work to be done after the lock is released.
    struct work {
        std::vector<engine_actions> m_engines;
        group_map::ended_change m_change;
        bool m_admission_changed = false;
    };

    /// The substitute for a rank's agent, run by this coordinator.
    struct substitute {
        std::shared_ptr<engine_port> m_port;
        group_map::participant m_participant;
        time_point m_since{};
    };

    void collect(const group_map::participant_effects& effects, rank_id rank, work& todo);
    void substitute_late_ranks(work& todo, time_point now);
    void end_substitutions(work& todo, time_point now);
    void exclude_loop_delay(time_point now);
    void log_missing_ranks(time_point now);
    void collect(const group_map::coordinator_effects& effects, work& todo, time_point now);
    wire::GroupMessage write_command(const group_map::command& message);
    void post_report(const group_map::report& message);
    void post(routing_result&& out);
    void post(const addressed_message& item);
    template <class Body>
    void receive_arrived(const Body& arrived, time_point now);
    void take(routing_result&& arrived, work& todo, time_point now);
    void take(const wire::GroupMessage& message, work& todo, time_point now);
    void handle_local_messages(work& todo, time_point now);
    work finish(work todo, time_point now);
    void carry_out(const work& todo);
    void send_order(const engine_actions& wanted);
    void on_answer(rank_id rank, absl::StatusOr<group_map::engine_answer> answer);

    group_options m_options;
    group_hooks m_hooks;
    std::shared_ptr<engine_port> m_order_port;
    link::node* m_node = nullptr;
    std::mutex m_admission_mutex;  ///< taken before `m_mutex`
    mutable std::mutex m_mutex;
    bool m_is_stopped = false;
    bool m_may_admit = false;
    group_map::participant m_participant;
    group_map::coordinator m_coordinator;
    std::map<rank_id, substitute> m_substitutes;
    std::set<rank_id> m_alive;             ///< in contact during a substitution
    held_up_since m_link_delay;            ///< as of the last tick
    time_point m_substitute_not_before{};  ///< set after a loop delay of the link
    group_router m_group_router;
    content_codec m_contents;
    time_point m_next_missing_ranks_log{};  ///< earliest time of the next `group_waits` log line
    bool m_has_logged_missing_ranks = false;
    std::deque<wire::GroupMessage> m_local_messages;  ///< not sent over the link
};

}  // namespace dewbeam::group
