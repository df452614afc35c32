/// \file
/// The agent's attempt ledger: the only gate to an upstream.
///
/// It decides whether an attempt may begin, remembers which began, and answers for each attempt
/// whether it was run.
#pragma once

#include <map>
#include <string>

#include "dewbeam/base"

namespace dewbeam::ledger {

/// What can be said of an attempt.
enum class outcome {
    completed,  ///< ran to its end
    not_run,    ///< never began, and never will
    unknown,    ///< began, or may have begun
};

/// An attempt as the dispatch describes it.
struct offered_attempt {
    attempt_id m_id;
    incarnation m_agent;  ///< the agent's life that the entry knows
    configuration_version m_configuration;
    bool m_urgent = false;
    bool m_alone = false;  ///< must be the only one that runs
    time_point m_deadline = no_deadline;
    fingerprint m_fingerprint;
};

/// Why an attempt is refused; all of these mean `not_run`.
enum class refusal {
    none,
    wrong_incarnation,
    stale_configuration,
    leaving,
    tombstoned,
    duplicate,  ///< already offered: the first offer stands
    deadline_passed,
    full,
    runs_alone,  ///< it, or one that runs, must be alone
};

/// Field term of a refusal for logs and replies.
const char* to_string(refusal value);

/// What the agent does with an offer.
struct decision {
    refusal m_refusal = refusal::none;  ///< none: run it
    time_point m_retry_at{};            ///< of `full`: when there may be room
};

/// Limits of a ledger.
struct ledger_options {
    incarnation m_incarnation;
    std::uint32_t m_slots = 1;
    time_span m_memory = std::chrono::minutes(10);  ///< how long an ended attempt is remembered
};

/// What the ledger knows of one attempt.
struct record {
    enum class state { running, completed, not_run, unknown };
    state m_state = state::running;
    bool m_alone = false;
    fingerprint m_fingerprint;
    time_point m_forget_at = no_deadline;
};

/// The state of one agent's gate.
struct attempt_ledger {
    ledger_options m_options;
    configuration_version m_configuration;
    bool m_leaving = false;
    std::uint32_t m_running = 0;
    std::map<attempt_id, record> m_records;
};

/// Decides on an offer; where the refusal is `none` the attempt counts as begun.
decision offer(attempt_ledger& state, const offered_attempt& attempt, time_point now);

/// The entry gave up: an attempt that has not begun never will. Says what is known of it.
outcome tombstone(attempt_ledger& state, const attempt_id& id, time_point now);

/// A running attempt ended.
void finish(attempt_ledger& state, const attempt_id& id, outcome result, time_point now);

/// From now on every offer is refused.
void start_leaving(attempt_ledger& state);

/// Forgets attempts whose time is over; none that runs.
void expire(attempt_ledger& state, time_point now);

}  // namespace dewbeam::ledger
