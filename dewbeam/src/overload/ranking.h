/// \file
/// Ranks waiting work by what its delay costs callers, for load that exceeds the capacity of a pool
/// for seconds: a wave of one kind of request that would otherwise make all kinds late.
///
/// Each priority has queues of requests that can still meet their latency objective and of late
/// ones. A ranking compares the heads of all queues. Callers lose most when a request that can be
/// in time becomes late, so these go first. A late request loses nothing more by waiting until
/// its caller is about to leave; shortly before that it is due, and its rank rises again.
///
/// \code
/// const auto next = choose(options, credits, heads);
/// note_served(options, credits, heads, next);
/// \endcode
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::overload {

/// How the priorities of a configuration compare.
struct ranking_options {
    /// Value of an answer relative to that of the next lower priority; at least 1.
    double m_priority_ratio = 2.0;
    /// Value of a late answer relative to one in time; 0 to 1. Above 1 / `m_priority_ratio`, a late
    /// request whose caller is about to leave goes before all of lower priority.
    double m_late_share = 0.6;
    /// Min share of the work that all lower priorities get together while they wait; 0 to 0.5.
    double m_floor = 0.05;
};

/// How much time a waiting request has.
enum class standing {
    in_time,  ///< can still meet its latency objective
    late,     ///< can't, and its caller waits for a while longer
    due,      ///< late, and its caller disconnects soon
};

/// The head of one queue.
struct candidate {
    std::uint32_t m_priority = 0;  ///< 0 is the most urgent
    standing m_standing = standing::in_time;
    double m_work = 1.0;                  ///< of the request, in the unit of the queue's costs
    double m_relative_work = 1.0;         ///< `m_work` divided by the mean of its queue
    time_point m_deadline = no_deadline;  ///< when it can no longer be started usefully
};

/// The work that each lower priority may do before higher ones, earned while it waited.
using floor_credits = std::map<std::uint32_t, double>;

/// Priority of a request from the one in force for it and its route's. A workspace's priority
/// replaces the route's; among requests of equal ones, the route's still tells which are urgent.
std::uint32_t combined_priority(std::uint32_t in_force, std::uint32_t of_route);

/// Value to callers of serving a candidate now, per unit of its work.
double value_of(const ranking_options& options, const candidate& subject);

/// Whether lower priorities have earned the work of this candidate by waiting.
bool is_floor_due(const floor_credits& credits, const candidate& subject);

/// Index of the candidate to serve next; `candidates` must not be empty.
std::size_t choose(const ranking_options& options, const floor_credits& credits,
                   const std::vector<candidate>& candidates);

/// Records that the candidate at `served` was served while the others waited.
void note_served(const ranking_options& options, floor_credits& credits,
                 const std::vector<candidate>& candidates, std::size_t served);

}  // namespace dewbeam::overload
