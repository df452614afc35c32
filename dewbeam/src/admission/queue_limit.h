/// \file
/// Whether a queue may take one more request, and when a refused caller may come back.
///
/// A request is refused at once when its expected wait is beyond its deadline or beyond the
/// queue's budget of time. The expected wait comes from the rate at which the queue drains. Refused
/// callers are given places in a line that drains at the same rate, so that they don't all come
/// back together.
#pragma once

#include "dewbeam/base"

namespace dewbeam::admission {

/// Limits, set by the operator.
struct queue_options {
    std::size_t m_most_queued = 10'000;
    time_span m_longest_wait = std::chrono::seconds(5);     ///< budget of the queue
    time_span m_shortest_return = std::chrono::seconds(1);  ///< least time until a caller is back
    time_span m_longest_return = std::chrono::seconds(60);
};

/// How fast a queue drains, in cost a second. Measured only while something waits; a queue
/// without a backlog says nothing on what it could drain.
struct drain_meter {
    time_point m_window_start{};
    double m_window_cost = 0.0;
    bool m_was_waiting = false;  ///< throughout the window
    double m_rate = 0.0;         ///< 0: not known yet
};

/// Work of `cost` was dispatched.
void note_drained(drain_meter& meter, double cost);

/// Time passed; `is_waiting` says whether something waits now.
void advance(drain_meter& meter, bool is_waiting, time_point now);

/// What a request would meet in the queue.
struct queue_facts {
    std::size_t m_queued = 0;      ///< requests in the whole queue
    std::size_t m_own_queued = 0;  ///< of them of the same workspace
    double m_cost_before = 0.0;    ///< cost that goes before it
    double m_share = 1.0;          ///< share of the drain rate that its workspace has
    time_span m_run_time{};        ///< expected time from dispatch to its first token
};

/// Expected wait in the queue; zero where nothing waits or no rate is known.
time_span expected_wait(const queue_facts& facts, const drain_meter& meter);

/// Whether the request may wait.
bool may_wait(const queue_facts& facts, const queue_options& options, const drain_meter& meter,
              time_point now, time_point deadline);

/// The line of refused callers.
struct return_line {
    time_point m_end{};  ///< when the last one in the line has its place
};

/// The time to come back for a refused caller whose request costs `cost`.
time_point next_return(return_line& line, const queue_options& options, const drain_meter& meter,
                       double cost, time_span wait, time_point now, random_engine& random);

}  // namespace dewbeam::admission
