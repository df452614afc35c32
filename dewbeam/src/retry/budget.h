/// \file
/// The budget of retries as a share of first tries (a token bucket), and which attempts may be
/// tried again at all.
#pragma once

#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::retry {

/// How an attempt ended, as the broker sees it.
enum class attempt_end {
    completed,      ///< the whole answer arrived
    not_run,        ///< certainly never begun
    not_reached,    ///< never begun, since no connection to the upstream came about
    refused_busy,   ///< never begun, since the upstream had no room at that moment
    unknown,        ///< may have run
    lost,           ///< may have run; the way there was lost, and it was cancelled there
    upstream_died,  ///< unknown, and the upstream's process went away while it ran
    cancelled,      ///< the caller went away
};

/// Retries that a new bucket holds, so that thin traffic can be retried at all.
inline constexpr double first_retries = 10.0;

/// Limits, set by the operator.
struct budget_options {
    double m_share = 0.1;            ///< retries for each first try
    double m_burst = 20.0;           ///< most retries saved up; may be below one
    double m_first = first_retries;  ///< retries that a new bucket holds, `m_burst` at most
};

/// The bucket. Over any time, retries stay below `m_share` of first tries plus what was saved up
/// and what may be borrowed.
struct budget {
    double m_tokens = first_retries;  ///< negative: owed
    std::uint64_t m_first_tries = 0;
    std::uint64_t m_retries = 0;
};

/// A new bucket.
budget make_budget(const budget_options& options);

/// Applies new limits.
void limit(budget& state, const budget_options& options);

/// A request was dispatched for the first time.
void count_first_try(budget& state, const budget_options& options);

/// Takes one retry from the budget; false when none is left. A bucket that never holds a whole
/// retry gives one with the probability that it holds, and is empty then in either case: where the
/// burst is divided among more gateways than it has retries, only their sum is a whole number.
bool take_retry(budget& state, const budget_options& options, random_engine& random);

/// Takes one retry for a request whose attempt was cancelled where it ran, as its way or its
/// upstream went silent. Such attempts end together, all at once, and what replaces them adds no
/// lasting load: the bucket may go into debt for them, by `m_burst` at most. False at that limit.
bool borrow_retry(budget& state, const budget_options& options);

/// Whether the attempt certainly never began.
bool is_never_begun(attempt_end end);

/// Whether an attempt that ended so may run again without running twice: it certainly never ran,
/// or running twice does no harm.
bool is_safe_to_retry(attempt_end end, bool is_idempotent);

}  // namespace dewbeam::retry
