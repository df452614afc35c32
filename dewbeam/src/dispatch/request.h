/// \file
/// What goes into a broker and what comes out: requests, upstreams, actions.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/configuration"
#include "dewbeam/retry"

namespace dewbeam::dispatch {

/// Number of a request inside one entry process.
using ticket = strong<struct ticket_tag, std::uint64_t>;

/// What an upstream last said of its load.
struct load_report {
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
    std::uint32_t m_urgent = 0;          ///< urgent ones among both
    std::uint32_t m_ordinary_slots = 0;  ///< what the agent lets ordinary work hold; 0: not said
    token_count m_free_kv;
    token_count m_total_kv;
    time_span m_step_time = time_span::zero();
    double m_skew = 1.0;         ///< slowest rank / mean rank
    time_point m_measured_at{};  ///< when the figures were true, on this host's clock
};

/// What the broker knows of an upstream.
struct upstream_info {
    upstream_id m_name;
    failure_domain_id m_failure_domain;
    configuration::label_set m_labels;  ///< effective labels
    incarnation m_incarnation;
    std::string m_group;        ///< lock-step group that it is a rank of; empty: none
    std::uint32_t m_slots = 1;  ///< requests that it runs at once
    bool m_leaving = false;
    bool m_is_stalled = false;  ///< its group stands still: nothing begins there now
    bool m_is_doubted = false;  ///< can't be heard now; it may be back in a moment, or be gone
    time_point m_lease_deadline = no_deadline;
    /// Requests a second from all entries together. If set, each request needs a permit.
    std::optional<double> m_rate_limit;
    load_report m_report;
};

/// A request that wants an upstream.
struct request_info {
    ticket m_ticket;
    workspace_id m_workspace;
    double m_workspace_weight = 1.0;
    std::string m_selector;  ///< name of the work selector, for metrics
    double m_selector_weight = 1.0;
    configuration::work_class m_class = configuration::work_class::ordinary;
    configuration::selector m_upstreams;
    bool m_idempotent = true;
    token_count m_prompt_tokens;
    token_count m_output_tokens;          ///< upper bound
    std::vector<std::uint64_t> m_prefix;  ///< cumulative hashes of the prompt's blocks
    fingerprint m_fingerprint;            ///< 0: none; such a request is never a suspect
    time_point m_arrival{};
    time_point m_deadline = no_deadline;
    /// A request that has not been sent off by then is refused: its caller would not wait longer,
    /// or the answer would be worth less than the place it takes.
    time_point m_wait_deadline = no_deadline;
    /// Sent off later than this, its first token will probably come after its latency objective:
    /// it then waits behind all requests of its class that can still meet theirs.
    time_point m_prompt_deadline = no_deadline;
    time_span m_most_pause = time_span::zero();  ///< between two events of a stream; zero: any
    std::uint32_t m_most_attempts = 0;           ///< 0: as the broker's options say
    bool m_pinned_first = false;  ///< prefer `m_first`: the upstream that an earlier try named
    upstream_id m_first;
};

/// How an attempt ended.
using attempt_end = retry::attempt_end;

/// Why a request is refused.
enum class refusal {
    no_able_upstream,   ///< no upstream that matches is known, or none serves now
    overloaded,         ///< the queue could not meet the deadline
    deadline_passed,    ///< time ran out in the queue
    retries_exhausted,  ///< the last attempt ended `not_run` and no retry is left
    maybe_run,          ///< the attempt's end is unknown and it must not run twice
    quarantined,        ///< its content crashed upstreams
};

/// Field term of a refusal for error bodies and metrics.
const char* to_string(refusal value);

/// What the program must do.
struct action {
    enum class kind { dispatch, refuse };
    kind m_kind = kind::dispatch;
    ticket m_ticket;
    upstream_id m_upstream;     ///< of a dispatch
    incarnation m_incarnation;  ///< of that upstream's agent
    bool m_alone = false;       ///< a crash suspect: run nothing beside it
    bool m_may_wait = true;     ///< false: an agent where it would wait answers `not_run` at once
    refusal m_refusal = refusal::overloaded;
    time_point m_retry_at{};  ///< of a refusal: when the caller may come back
};

/// Actions in the order in which they must be carried out.
using actions = std::vector<action>;

}  // namespace dewbeam::dispatch
