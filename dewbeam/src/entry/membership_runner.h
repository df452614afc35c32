/// \file
/// Connects the membership logic to a program's link. Used by entries, agents and controls.
#pragma once

#include <deque>
#include <functional>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/base"
#include "dewbeam/membership"
#include "dewbeam/turns"

namespace dewbeam::entry {

/// A load report of an agent.
struct agent_report {
    host_id m_host;
    incarnation m_upstream_life;  ///< of the upstream that was measured; 0 if unknown
    membership::member_load m_load;
};

/// The callbacks that a program gives to its runner. None is called while the runner's lock is
/// held, except `m_held_up`.
struct membership_hooks {
    /// Sends to the process that listens at an address.
    std::function<void(const std::string&, wire::Envelope)> m_send;
    /// Total time for which the link's event loop was delayed since the start. Optional. Called
    /// with the runner's lock held.
    std::function<time_span()> m_held_up;
    /// A member is new, announced a change, or is considered suspect or dead. Calls don't overlap
    /// and come in the order in which the view learned the changes.
    std::function<void(const membership::member&)> m_on_change;
    /// An agent's load report arrived.
    std::function<void(const agent_report&)> m_on_report;
    /// This process was considered dead by others and continues under a new incarnation.
    std::function<void(incarnation)> m_on_new_incarnation;
    /// A later process runs under the same host name; this one should stop.
    std::function<void()> m_on_superseded;
};

/// One process's membership. Thread-safe.
///
/// \code
/// membership_runner runner(options, self, hooks, seed, program::now());
/// // in the link's handler:      if (runner.take(message, now)) { return; }
/// // in the program's tick:      runner.tick(now);
/// // when the agent reads loads: runner.report(load, life, now);
/// // when readiness goes false:  runner.leave(now);
/// \endcode
class membership_runner {
public:
    membership_runner(const membership::view_options& options, const membership::member& self,
                      membership_hooks hooks, std::uint64_t seed, time_point now);

    /// Handles a message. Returns false if it is not a membership message.
    bool take(const wire::Envelope& message, time_point now);

    /// Does the work that is due; cheap when nothing is. Call it at least every 200 ms.
    void tick(time_point now);

    /// Announces changed properties of this process. Nothing is sent if nothing changed. Host,
    /// role, domain, address, incarnation and sequence of `self` are ignored.
    void announce(const membership::member& self, time_point now);

    /// Announces at once that this process is leaving and takes no new work.
    void leave(time_point now);

    /// Records that this control host is part of a quorum now.
    void note_quorum(time_point now);

    /// Sends an agent's load to the entries that requested it. `upstream_incarnation` is the
    /// incarnation of the upstream that was measured; 0 if it can't be distinguished from an
    /// earlier one.
    void report(const membership::member_load& load, incarnation upstream_incarnation,
                time_point now);

    /// Requests for 15 s the load reports of the agents that this entry uses, `size` of each model.
    /// Call it every few seconds.
    void request_load_reports(std::size_t size);

    /// All members that are not considered dead, including this process, by host.
    [[nodiscard]] std::vector<membership::member> members() const;

    /// Which failure domains, and whether the control quorum, this process has had recent contact
    /// with.
    [[nodiscard]] membership::reachability reach(time_point now) const;

    /// The incarnation under which this process is known.
    [[nodiscard]] incarnation own_incarnation() const;

    /// `reach` for status pages.
    [[nodiscard]] nlohmann::json reach_json(time_point now) const;

private:
    void queue_changes(membership::effects& out);
    void deliver_changes();
    void perform(membership::effects& out, time_point now);
    void send(const std::string& address, wire::Envelope message);

    mutable std::mutex m_mutex;
    membership_hooks m_hooks;
    membership::view m_view;
    membership::report_readers m_readers;
    random_engine m_random;
    time_point m_tick_at{};
    held_up_since m_link_delay;
    std::deque<membership::member> m_undelivered;  ///< changes, oldest first
    bool m_is_delivering = false;                  ///< some thread is delivering them
};

}  // namespace dewbeam::entry
