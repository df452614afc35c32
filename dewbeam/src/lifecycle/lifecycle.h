/// \file
/// The life of a process, from start to a graceful stop, as a Boost.MSM state machine.
#pragma once

#include <memory>

#include "dewbeam/base"

namespace dewbeam::lifecycle {

/// Where a process stands.
enum class phase {
    starting,  ///< learning what it needs before it may serve
    serving,   ///< ready
    unready,   ///< not ready any more, still accepting while the balancer before it takes notice
    draining,  ///< accepts nothing new, finishes what is in flight
    stopped,   ///< nothing in flight
};

/// What the program must do after an event.
enum class command {
    none,
    start_serving,   ///< readiness becomes true
    announce_leave,  ///< readiness becomes false, tell the members
    stop_accepting,  ///< close the listeners
    exit_clean,      ///< everything is done
    exit_cut,        ///< the deadline passed: log what is cut
};

/// Name of a phase in logs and status pages.
const char* to_string(phase value);

/// The machine. Every function takes the time; none waits.
class process {
public:
    process();
    ~process();
    process(process&&) noexcept;
    process& operator=(process&&) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    [[nodiscard]] phase current() const;

    /// The process knows enough to serve.
    command learned();

    /// SIGTERM: stay accepting until `notice_deadline`, then finish until `drain_deadline`. A
    /// repeated signal changes nothing: supervisors may send more than one for the same stop.
    command stop_requested(time_point notice_deadline, time_point drain_deadline);

    /// Time passed; `in_flight` requests are unfinished.
    command tick(time_point now, std::size_t in_flight);

private:
    struct machine;
    std::unique_ptr<machine> m_machine;
    time_point m_notice_deadline = no_deadline;
    time_point m_drain_deadline = no_deadline;
    bool m_is_stopping = false;
};

}  // namespace dewbeam::lifecycle
