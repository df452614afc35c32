/// \file
/// Joins the membership decisions to a program's link. Entries, agents and controls use it alike.
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
    incarnation m_upstream_life;  ///< of the upstream that was measured; 0: the agent can't tell
    membership::member_load m_load;
};

/// What a program gives to its runner. None is called while the runner's lock is held.
struct membership_hooks {
    /// Sends to the process that listens at an address.
    std::function<void(const std::string&, wire::Envelope)> m_send;
    /// For how long the link was held up since the start; none: never.
    std::function<time_span()> m_held_up;
    /// A member is new, said something new, or is held suspect or dead. One call at a time, in the
    /// order in which the view learned of it.
    std::function<void(const membership::member&)> m_on_change;
    /// An agent's load report arrived.
    std::function<void(const agent_report&)> m_on_report;
    /// This process was held dead and goes on under a new incarnation.
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

    /// Takes a message in; false where it is not for membership.
    bool take(const wire::Envelope& message, time_point now);

    /// Does what is due; cheap when nothing is. Any interval up to 200 ms will do.
    void tick(time_point now);

    /// Says something else of this process: nothing is sent where nothing changed. Host, role,
    /// domain, address, incarnation and sequence of `self` are passed over.
    void announce(const membership::member& self, time_point now);

    /// Takes no new work from now on; spread at once.
    void leave(time_point now);

    /// This control is part of a majority now.
    void note_quorum(time_point now);

    /// Sends an agent's load to the entries that asked for it. `upstream_life` is that of the
    /// upstream that was measured; 0 where it can't be told from an earlier one.
    void report(const membership::member_load& load, incarnation upstream_life, time_point now);

    /// Asks for the reports of the agents that this entry uses, `size` of each model, for
    /// 15 s; call it every few seconds.
    void want_reports(std::size_t size);

    /// All members that are not held dead, self included, by host.
    [[nodiscard]] std::vector<membership::member> members() const;

    /// What can be heard.
    [[nodiscard]] membership::reachability reach(time_point now) const;

    /// The incarnation under which this process is known.
    [[nodiscard]] incarnation own_incarnation() const;

    /// `reach` for status pages.
    [[nodiscard]] nlohmann::json reach_json(time_point now) const;

private:
    void keep_changes(membership::effects& out);
    void deliver_changes();
    void perform(membership::effects& out, time_point now);
    void send(const std::string& address, wire::Envelope message);

    mutable std::mutex m_mutex;
    membership_hooks m_hooks;
    membership::view m_view;
    membership::report_readers m_readers;
    random_engine m_random;
    time_point m_tick_at{};
    held_up_since m_link_held_up;
    std::deque<membership::member> m_undelivered;  ///< changes, oldest first
    bool m_is_delivering = false;                  ///< some thread hands them out
};

}  // namespace dewbeam::entry
