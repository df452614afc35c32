/// \file
/// The budget of retries as a share of first tries (a token bucket), and which attempts may be
/// tried again at all.
#pragma once

#include <cstdint>
#include <deque>

#include "dewbeam/base"

namespace dewbeam::retry {

/// How an attempt ended, as the broker sees it.
enum class attempt_end {
    completed,      ///< the whole answer arrived
    not_run,        ///< certainly never begun
    not_reached,    ///< never begun, since no connection to the upstream came about
    refused_busy,   ///< never begun, since the upstream had no room at that moment
    unknown,        ///< may have run
    unanswered,     ///< may have run, or may still arrive: given up before the upstream answered
    lost,           ///< may have run; the way there was lost, and it was cancelled there
    upstream_died,  ///< unknown, and the upstream's process went away while it ran
    cancelled,      ///< the caller went away
};

/// How long an attempt that was given up unanswered may still arrive: bytes on a link that is cut,
/// or in the buffers of a host that stands still, are delivered when it goes on.
inline constexpr time_span late_arrival_limit = std::chrono::seconds(8);

/// In which time alone an idle bucket fills, so that thin traffic can be retried at all.
inline constexpr time_span idle_refill_time = std::chrono::minutes(2);

/// Limits, set by the operator.
struct budget_options {
    double m_share = 0.1;    ///< retries for each first try
    double m_burst = 20.0;   ///< most retries saved up or under way; may be below one
    double m_initial = 0.0;  ///< retries that a new bucket holds, `m_burst` at most
};

/// The bucket. A retry keeps its place in it until it is known to have arrived, or can't arrive any
/// more. So in any span of time, the retries that arrive stay below `m_burst` plus `m_share` of the
/// first tries in it, however late they arrive, plus what may be borrowed.
struct budget {
    double m_tokens = 0.0;  ///< negative: owed
    std::uint32_t m_under_way = 0;
    std::deque<time_point> m_late_until;  ///< of retries that were given up; sorted
    time_point m_filled_at{};
    std::uint64_t m_first_tries = 0;
    std::uint64_t m_retries = 0;
};

/// A new bucket.
budget make_budget(const budget_options& options);

/// Applies new limits.
void limit(budget& state, const budget_options& options);

/// A request was dispatched for the first time.
void count_first_try(budget& state, const budget_options& options, time_point now);

/// Takes one retry from the budget; false when none is left. It is under way until `settle_retry`
/// or `give_up_retry`. A bucket that never holds a whole retry gives one with the probability that
/// it holds, and is empty then in either case: where the burst is divided among more gateways than
/// it has retries, only their sum is a whole number.
bool take_retry(budget& state, const budget_options& options, time_point now,
                random_engine& random);

/// A retry under way has arrived, or never will.
void settle_retry(budget& state);

/// A retry under way may still arrive until `late_arrival_limit` from now.
void give_up_retry(budget& state, time_point now);

/// Retries that may still arrive.
std::size_t arriving_retries(const budget& state);

/// Takes one retry for a request whose attempt was cancelled where it ran, as its way or its
/// upstream went silent. Such attempts end together, all at once, and what replaces them adds no
/// lasting load: the bucket may go into debt for them, by `m_burst` at most. False at that limit.
bool borrow_retry(budget& state, const budget_options& options);

/// Whether the attempt certainly never began.
bool is_never_begun(attempt_end end);

/// Whether the attempt may reach its upstream after its end.
bool may_still_arrive(attempt_end end);

/// Whether an attempt that ended so may run again without running twice: it certainly never ran,
/// or running twice does no harm.
bool is_safe_to_retry(attempt_end end, bool is_idempotent);

}  // namespace dewbeam::retry
