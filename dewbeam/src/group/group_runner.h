/// \file
/// Runs the expert map protocol of one rank: messages over the link, orders over HTTP.
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
#include "dewbeam/src/group/courier.h"
#include "dewbeam/src/group/engine_port.h"
#include "dewbeam/turns"

namespace dewbeam::group {

/// What a runner needs to know at start.
struct group_options {
    std::string m_group;                 ///< its name; messages of another group are dropped
    std::vector<std::string> m_members;  ///< link addresses by rank
    group_map::participant_options m_participant;
    group_map::coordinator_options m_coordinator;
    std::uint32_t m_candidates = 3;  ///< ranks that may coordinate: the first ones
    /// Where engines take orders from any host: the coordinator's way to another rank's engine. It
    /// stands in (where this gives a port: not while the group doesn't run) for a rank whose agent
    /// owes an answer for longer than `m_patience`: a group that holds for a frozen agent would
    /// stand still until that wakes.
    std::function<std::shared_ptr<engine_port>(rank_id)> m_make_port{};
    time_span m_patience = std::chrono::milliseconds(300);
};

/// Options of one rank. Incarnations and fencing numbers are the process's start time, so that
/// later lives have larger ones.
group_options make_group_options(std::string group, std::vector<std::string> members, rank_id rank,
                                 incarnation own, bool checks_fencing);

/// A way to a rank.
struct route {
    rank_id m_to;
    rank_id m_through;  ///< the rank that takes the message first: `m_to`, or a relay
};

/// The ways to all who must learn of a rank.
struct coordinator_routes {
    bool m_has_coordinator = false;  ///< one was heard of lately; else all that may coordinate
    std::vector<route> m_routes;
};

/// What a runner asks of the agent around it; called without its lock.
struct group_hooks {
    std::function<void(bool may_admit)> m_set_admission;
    std::function<bool()> m_is_busy;  ///< whether the agent has unfinished requests
    std::function<void(const group_map::ended_change&)> m_on_change;
};

/// One rank's part of the protocol. Thread-safe.
class group_runner : public std::enable_shared_from_this<group_runner> {
public:
    /// `orders` leads to this rank's engine and is used for nothing else.
    group_runner(const group_options& options, group_hooks hooks,
                 std::shared_ptr<engine_port> orders, time_point now);

    /// Takes part from now on; `node` outlives the runner.
    void start(link::node& node, time_point now);

    /// A message of the group arrived, or a bundle of them.
    void on_message(const wire::GroupMessage& message, time_point now);
    void on_bundle(const wire::GroupBundle& bundle, time_point now);

    /// Time passed.
    void tick(time_point now);

    /// Another rank's agent was heard: where this one stood in for it, that ends.
    void note_alive(rank_id rank, time_point now);

    /// Starts a change where this rank coordinates a settled group; whether it did.
    bool propose(const std::string& content, time_point now);

    /// What this rank's coordinator does, for status pages.
    [[nodiscard]] group_map::phase current_phase() const;

    /// This rank's engine as last read; none before the first answer.
    [[nodiscard]] std::optional<group_map::engine_state> engine() const;

    /// Where to send what the coordinator must learn. Where none is heard, all that may coordinate
    /// are told: one of them may stand in for this rank and must learn that its agent is back.
    [[nodiscard]] coordinator_routes routes_to_coordinator(time_point now) const;

    /// Whether requests may be given to the engine.
    [[nodiscard]] bool may_admit() const;

    /// No more orders or messages.
    void stop();

private:
    /// What must be done at one rank's engine.
    struct engine_work {
        std::shared_ptr<engine_port> m_port;
        rank_id m_rank;
        bool m_close_connection = false;
        std::optional<group_map::engine_order> m_order;
    };

    /// What must be done once the lock is free.
    struct work {
        std::vector<engine_work> m_engines;
        group_map::ended_change m_change;
        bool m_admission_changed = false;
    };

    /// A rank that this coordinator acts for.
    struct stand_in {
        std::shared_ptr<engine_port> m_port;
        group_map::participant m_participant;
        time_point m_since{};
    };

    void collect(const group_map::participant_effects& effects, rank_id rank, work& todo);
    void stand_in_for_late_ranks(work& todo, time_point now);
    void end_stand_ins(work& todo, time_point now);
    void note_held_up(time_point now);
    void watch_missing_ranks(time_point now);
    void collect(const group_map::coordinator_effects& effects, work& todo, time_point now);
    wire::GroupMessage write_command(const group_map::command& message);
    void post_report(const group_map::report& message);
    void post(deliveries&& out);
    void post(const parcel& item);
    template <class Body>
    void take_arrived(const Body& arrived, time_point now);
    void take(deliveries&& arrived, work& todo, time_point now);
    void take(const wire::GroupMessage& message, work& todo, time_point now);
    void take_own_messages(work& todo, time_point now);
    work finish(work todo, time_point now);
    void carry_out(const work& todo);
    void send_order(const engine_work& wanted);
    void on_answer(rank_id rank, absl::StatusOr<group_map::engine_answer> answer);

    group_options m_options;
    group_hooks m_hooks;
    std::shared_ptr<engine_port> m_orders;
    link::node* m_node = nullptr;
    std::mutex m_admission_mutex;  ///< taken before `m_mutex`
    mutable std::mutex m_mutex;
    bool m_is_stopped = false;
    bool m_may_admit = false;
    group_map::participant m_participant;
    group_map::coordinator m_coordinator;
    std::map<rank_id, stand_in> m_stand_ins;
    std::set<rank_id> m_alive;     ///< heard while this one stood in
    held_up_since m_link_held_up;  ///< as of the last tick
    time_point m_stand_in_from{};  ///< after the link was held up
    courier m_courier;
    content_codec m_contents;
    time_point m_log_missing_at{};  ///< not before: the group waits for ranks
    bool m_has_logged_missing = false;
    std::deque<wire::GroupMessage> m_own_messages;  ///< to a rank that this one acts for
};

}  // namespace dewbeam::group
