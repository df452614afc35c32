/// \file
/// The agent's attempt ledger: the only gate to an upstream.
///
/// It decides whether an attempt may begin, remembers which began, and answers for each attempt
/// whether it was run. Its memory is bounded, and what it forgets it never runs: when the first
/// attempt of an entry's life is forgotten, a low-water mark rises above it, and everything of that
/// life below the mark is refused. Cost does not grow with what is remembered.
#pragma once

#include <boost/intrusive/list.hpp>
#include <string>
#include <unordered_map>
#include <vector>

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

/// Why an attempt is refused. `outcome_of` says what that means for the attempt.
enum class refusal {
    none,
    wrong_incarnation,
    stale_configuration,
    leaving,
    tombstoned,
    duplicate,  ///< already offered: the first offer stands
    deadline_passed,
    full,
    runs_alone,   ///< it, or one that runs, must be alone
    forgotten,    ///< so old that the ledger can't tell whether it was offered before
    thawing,      ///< this process slept; the offer may have waited as long
    backing_off,  ///< its engine asked for a backoff
    paused,       ///< the group changes its expert map, and its engine can't hold at a step
};

/// Reason of an attempt that its agent cancelled since it could not hear the entry any more.
inline constexpr const char* entry_lost = "entry_lost";

/// Field term of a refusal for logs and replies.
const char* to_string(refusal value);

/// What the agent does with an offer.
struct decision {
    refusal m_refusal = refusal::none;     ///< none: run it
    time_point m_retry_at{};               ///< of a refusal: when the entry may ask again
    outcome m_outcome = outcome::unknown;  ///< of a refusal: what may be said of the attempt
};

/// Limits of a ledger.
struct ledger_options {
    incarnation m_incarnation;
    std::uint32_t m_slots = 1;
    time_span m_memory = std::chrono::minutes(10);  ///< how long an ended attempt is remembered
    std::uint32_t m_urgent_slots = 0;               ///< slots that ordinary work can't take
    std::uint32_t m_ordinary_slots = 0;             ///< slots that urgent work can't take
    std::size_t m_most_remembered = 1'000'000;      ///< beyond this the oldest go early
    std::size_t m_most_marks = 65'536;              ///< then `needs_renewal`
    /// A tick later than this means that the process slept; `expire` is called more often.
    time_span m_sleep_limit = std::chrono::seconds(5);
    time_span m_thaw_time = std::chrono::seconds(1);  ///< to read what arrived meanwhile
    /// The link delivers each dispatch at most once. Without that, a refusal for its age or its
    /// incarnation proves nothing about an earlier copy, and means `unknown`.
    bool m_arrives_once = true;
    /// How long room is kept for an attempt that must be alone, after each refusal of it.
    time_span m_alone_hold = std::chrono::milliseconds(250);
};

/// What the ledger knows of one attempt.
struct record {
    enum class state { running, completed, not_run, unknown };

    attempt_id m_id;
    state m_state = state::running;
    bool m_alone = false;
    bool m_urgent = false;
    fingerprint m_fingerprint;
    time_point m_began_at{};
    time_point m_forget_at = no_deadline;
    boost::intrusive::list_member_hook<boost::intrusive::link_mode<boost::intrusive::normal_link>>
        m_hook;
};

/// Records in the order in which they began, or ended.
using record_list = boost::intrusive::list<
    record, boost::intrusive::member_hook<record, decltype(record::m_hook), &record::m_hook>,
    boost::intrusive::constant_time_size<false>>;

/// The state of one agent's gate. Neither hash map is ever walked.
struct attempt_ledger {
    ledger_options m_options;
    configuration_version m_configuration;
    bool m_leaving = false;
    bool m_paused = false;
    time_point m_backoff_until{};  ///< the engine wants no attempts until then
    std::uint32_t m_running = 0;
    std::uint32_t m_running_urgent = 0;
    std::uint32_t m_running_alone = 0;
    /// Until then only an attempt that must be alone may begin: one was refused since others ran.
    time_point m_held_for_alone_until{};
    // The lists stand before the records in them: an assignment lets go of the old ones in this
    // order.
    record_list m_began;  ///< those that run
    record_list m_ended;  ///< the others, first to forget first
    std::unordered_map<attempt_id, record> m_records;
    /// For an entry's life: every sequence below is refused.
    std::unordered_map<incarnation, std::uint64_t> m_marks;
    time_span m_mean_run = std::chrono::milliseconds(100);  ///< moving mean, for `m_retry_at`
    time_point m_sleeps_at = no_deadline;  ///< without a tick until then, the process slept
    time_point m_thawed_at{};              ///< until then offers are refused
};

/// Decides on an offer; where the refusal is `none` the attempt counts as begun.
decision offer(attempt_ledger& state, const offered_attempt& attempt, time_point now);

/// What a refusal says of the attempt: `not_run` for most, `unknown` where it may have begun.
outcome outcome_of(const attempt_ledger& state, refusal value);

/// The entry gave up: an attempt that has not begun never will. Says what is known of it.
outcome tombstone(attempt_ledger& state, const attempt_id& id, time_point now);

/// The same for an attempt that was dispatched to the life `agent`. Of an earlier life nothing is
/// known but what still runs.
outcome tombstone(attempt_ledger& state, const attempt_id& id, incarnation agent, time_point now);

/// A running attempt ended.
void finish(attempt_ledger& state, const attempt_id& id, outcome result, time_point now);

/// The engine asked for a backoff: offers are refused until its end. It is never shortened, and
/// ends with the engine's life (`renew`).
void back_off(attempt_ledger& state, time_point until);

/// From now on every offer is refused.
void start_leaving(attempt_ledger& state);

/// Whether the last running attempt of a leaving agent ended.
bool drained(const attempt_ledger& state);

/// The attempts that run, first begun first: the suspects when the upstream dies.
std::vector<attempt_id> running_attempts(const attempt_ledger& state);

/// Forgets attempts whose time is over; none that runs. Also the ledger's tick: call it several
/// times within `m_sleep_limit`.
void expire(attempt_ledger& state, time_point now);

/// Whether so many entries have come and gone that the agent should take a new incarnation.
bool needs_renewal(const attempt_ledger& state);

/// Takes a new incarnation: what runs goes on, the rest is forgotten, and every dispatch to the
/// incarnation before is refused.
void renew(attempt_ledger& state, incarnation next);

}  // namespace dewbeam::ledger
