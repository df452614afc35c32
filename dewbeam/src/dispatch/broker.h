/// \file
/// The broker of one pool: which request goes to which upstream, when, and which is refused.
///
/// A pool is all work for one model or one plain service. The broker is a plain struct; every
/// function takes the time and the random engine, and gives back what the program must do.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/configuration"

namespace dewbeam::dispatch {

/// Number of a request inside one entry process.
using ticket = strong<struct ticket_tag, std::uint64_t>;

/// What an upstream last said of its load.
struct load_report {
    std::uint32_t m_running = 0;
    std::uint32_t m_waiting = 0;
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
    std::uint32_t m_slots = 1;  ///< requests that it runs at once
    bool m_leaving = false;
    time_point m_lease_deadline = no_deadline;
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
    fingerprint m_fingerprint;
    time_point m_arrival{};
    time_point m_deadline = no_deadline;
    bool m_pinned_first = false;  ///< prefer `m_first`: the upstream that an earlier try named
    upstream_id m_first;
};

/// How an attempt ended, as the broker sees it.
enum class attempt_end {
    completed,      ///< the whole answer arrived
    not_run,        ///< certainly never begun
    unknown,        ///< may have run
    upstream_died,  ///< unknown, and the upstream's process went away while it ran
    cancelled,      ///< the caller went away
};

/// Why a request is refused.
enum class refusal {
    no_able_upstream,   ///< no upstream that matches is known
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
    refusal m_refusal = refusal::overloaded;
    time_point m_retry_at{};  ///< of a refusal: when the caller may come back
};

/// Actions in the order in which they must be carried out.
using actions = std::vector<action>;

/// Limits and preferences of a broker.
struct broker_options {
    failure_domain_id m_failure_domain;
    std::size_t m_most_queued = 10'000;
    std::uint32_t m_entries_sharing = 1;  ///< entries that dispatch to the same upstreams
};

/// A request in the broker.
struct pending_request {
    request_info m_info;
    std::uint32_t m_attempts = 0;
    std::vector<upstream_id> m_tried;
    std::optional<upstream_id> m_running_on;
};

/// An upstream in the broker.
struct upstream_state {
    upstream_info m_info;
    std::uint32_t m_in_flight = 0;  ///< own dispatches without an end
};

/// The state; containers are ordered, so that no result depends on a hash.
struct broker {
    broker_options m_options;
    std::map<upstream_id, upstream_state> m_upstreams;
    std::map<ticket, pending_request> m_requests;
    std::vector<ticket> m_queue;
};

/// A new request arrives.
actions submit(broker& state, request_info info, time_point now, random_engine& random);

/// The first token, or the first byte of a plain answer, arrived.
void first_token(broker& state, ticket request, time_point now);

/// An attempt ended; the request is retried, refused or forgotten.
actions attempt_ended(broker& state, ticket request, attempt_end end, time_point now,
                      random_engine& random);

/// The caller went away, or its answer was given from elsewhere.
actions cancel(broker& state, ticket request, time_point now, random_engine& random);

/// An upstream was heard of: new, changed, or with a new report.
actions update_upstream(broker& state, const upstream_info& info, time_point now,
                        random_engine& random);

/// An upstream's lease ended or it left; its attempts end by `attempt_ended`.
actions remove_upstream(broker& state, const upstream_id& name, time_point now,
                        random_engine& random);

/// Time passed: deadlines in the queue, leases, waiting retries.
actions tick(broker& state, time_point now, random_engine& random);

}  // namespace dewbeam::dispatch
