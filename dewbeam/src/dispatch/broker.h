/// \file
/// The broker of one pool: decides which request goes to which upstream and when, and which
/// requests are refused.
///
/// A pool is all work for one model or one plain service. The broker is a plain struct. Functions
/// that need the time or random numbers take them as arguments, and those that cause dispatches or
/// refusals return them as actions for the program to carry out.
///
/// \code
/// broker pool;
/// pool.m_options.m_failure_domain = failure_domain_id("dar-1");
/// update_upstream(pool, info, now, random);
/// for (const auto& step : submit(pool, request, now, random)) { carry_out(step); }
/// \endcode
#pragma once

#include <map>
#include <unordered_map>
#include <vector>

#include "dewbeam/permits"
#include "dewbeam/quarantine"
#include "dewbeam/src/dispatch/choose.h"
#include "dewbeam/src/dispatch/group_progress.h"
#include "dewbeam/src/dispatch/request.h"
#include "dewbeam/src/dispatch/route_table.h"
#include "dewbeam/turns"

namespace dewbeam::dispatch {

/// Overload control: requests wait by priority, and upstreams get no more than they can run.
struct overload_options {
    bool m_is_active = false;
    overload::ranking_options m_ranking;
};

/// Limits and preferences of a broker.
struct broker_options {
    failure_domain_id m_failure_domain;
    std::size_t m_most_queued = 10'000;
    std::uint32_t m_sharing_entry_count =
        1;                           ///< number of entries that dispatch to the same upstreams
    host_id m_entry;                 ///< this entry; determines its subset of upstreams
    std::size_t m_subset_size = 64;  ///< per route, in the own domain and again elsewhere
    choice_options m_choice;
    health_options m_health;
    /// Max time that a request waits for an upstream with room before it is sent again.
    time_span m_max_retry_wait = std::chrono::seconds(1);
    /// Max time that requests wait for upstreams that are out of contact if no others are
    /// available. Longer than membership takes to distinguish a crashed member from a late one.
    time_span m_max_doubt = std::chrono::milliseconds(2500);
    fairness::class_options m_classes;
    overload_options m_overload;
    admission::queue_options m_queue;  ///< its `m_most_queued` is the one above
    retry::budget_options m_retries;
    routing::prefix_options m_prefixes;
    std::uint32_t m_most_attempts = 3;
    /// Refuse requests that will probably not complete by their deadline. Off where the run time is
    /// only known from callers' own estimates, which are often far off.
    bool m_runs_must_fit = true;
    /// If no upstream is available, requests wait for one until their wait deadline. For pools
    /// whose upstreams are discovered while requests already arrive, as after a start.
    bool m_waits_for_upstreams = false;
    double m_isolated_share = 0.25;  ///< max share of a route's upstreams that run suspects
    /// Delay before a suspect may start, so that crash reports of other entries arrive first.
    /// Longer than a suspicion takes from entry to entry.
    time_span m_suspect_start_delay = std::chrono::milliseconds(200);
    quarantine::quarantine_options m_quarantine;
    /// Suspects run beside other requests, but only one copy at a time over all processes, under
    /// exclusive grants that the program obtains (`wanted_turns`). Off: each suspect runs in
    /// isolation, on an upstream that is held for it.
    bool m_suspects_run_exclusively = false;
};

/// This process's exclusive grant to run a suspected content.
struct suspect_grant {
    bool m_is_granted = false;
    ticket m_runs;  ///< the running request that uses it; 0: none
};

/// Deadline of a waiting request.
struct queued_deadline {
    time_point m_deadline{};
    ticket m_ticket;
};

/// State of a broker. The unordered maps are only used for look-ups, so no result depends on the
/// hash order.
struct broker {
    broker_options m_options;
    route_table m_table;
    routing::prefix_index m_prefixes;
    routing::speed_estimate m_speed;
    slowness m_pool_speed;  ///< mean time to a first token
    group_progress_table m_group_progress;
    std::vector<std::string> m_new_stalled_groups;  ///< not yet taken by the program
    time_point m_latest_answered_dispatch{};        ///< latest dispatch that got a first token
    fairness::class_share m_class_share;
    overload::floor_credits m_floor_credits;  ///< by priority
    time_point m_next_shedding{};
    retry::budget m_retry_budget;
    quarantine::suspicion_table m_suspicions;
    std::unordered_map<ticket, pending_request> m_requests;
    std::vector<queued_deadline> m_deadlines;             ///< a heap, the earliest first
    std::vector<quarantine::suspicion> m_new_suspicions;  ///< not yet taken by the program
    std::map<fingerprint, suspect_grant> m_exclusive_grants;
    bool m_is_cut_off = false;  ///< no contact to those who issue exclusive grants
    std::size_t m_waiting = 0;  ///< requests that are not running
    time_point m_last_submit{};
    turn_watch m_ticks;
    double m_block_tokens = 0.0;  ///< mean tokens per prefix block; 0: not known
};

/// Submits a new request. Its ticket must not be in the broker.
actions submit(broker& state, request_info info, time_point now, random_engine& random);

/// Records that the first token, or the first byte of a plain answer, arrived.
/// \returns whether the upstream's group was closed and is reopened by this
bool first_token(broker& state, ticket request, time_point now);

/// Records an event of a running stream after its first.
/// \returns whether the upstream's group had been found stalled and is reopened by this
bool next_event(broker& state, ticket request, time_point now);

/// Ends an attempt; the request is retried, refused or forgotten. `upstream_died` means that the
/// process crashed or exited while it ran the request, which makes the request a crash suspect.
actions attempt_ended(broker& state, ticket request, attempt_end end, time_point now,
                      random_engine& random);

/// Records that the upstream of a running request asked for a backoff: nothing is dispatched to it
/// before the end.
void note_backoff(broker& state, ticket request, time_point until, time_point now,
                  random_engine& random);

/// Cancels a request whose caller disconnected, or which was answered from elsewhere.
actions cancel(broker& state, ticket request, time_point now, random_engine& random);

/// Adds an upstream, or updates one that changed or sent a new report.
actions update_upstream(broker& state, const upstream_info& info, time_point now,
                        random_engine& random);

/// Removes an upstream whose lease expired or that left. Its attempts end by `attempt_ended`.
actions remove_upstream(broker& state, const upstream_id& name, time_point now,
                        random_engine& random);

/// Handles what depends on time: deadlines in the queue, leases, waiting retries. Must be called
/// every 50 ms or sooner; a later call is taken as event loop delay of this process.
actions tick(broker& state, time_point now, random_engine& random);

/// Records what an upstream's prefix cache stored or removed.
void cache_event(broker& state, const upstream_id& name, const routing::cache_event& event);

/// Records that an upstream answered an attempt, or failed it by its own fault. Returns true if the
/// upstream is closed for a while because of it.
bool note_result(broker& state, const upstream_id& name, upstream_result how, time_point now);

/// Records that an upstream refused because of another rank of its group. Returns true if the group
/// is closed because of it.
bool note_group_refusal(broker& state, const upstream_id& name, time_point now);

/// Whether a running request is late through its upstream's own fault: a request that was
/// dispatched more than `margin` after it already has its first token. At a group that makes no
/// progress, a fixed share of that margin is enough.
bool is_overtaken(const broker& state, ticket request, time_span margin);

/// Reports that the upstream of a running request is unresponsive; must be repeated every half
/// second while that lasts. An idempotent request is dispatched again as soon as an upstream has
/// room that it was not sent to before; the caller of the broker then ends the previous attempt.
/// Until then, or until the upstream responds again, the request stays where it is.
actions note_unresponsive_upstream(broker& state, ticket request, time_point now,
                                   random_engine& random);

/// How many further permits each rate-limited upstream needs; the count may be zero.
std::vector<permits::demand> wanted_permits(const broker& state, time_point now);

/// Adds issued permits. Each allows one request to a rate-limited upstream until `deadline`.
actions add_permits(broker& state, const upstream_id& name, std::uint32_t count,
                    time_point deadline, time_point now, random_engine& random);

/// Sets the number of entries that share the upstreams, and this entry's retry budget.
void set_sharing(broker& state, std::uint32_t entries, const retry::budget_options& retries);

/// Switches overload control on or off. Queued requests move to the lanes that apply then.
void set_overload_control(broker& state, bool is_active, time_point now);

/// Takes the groups found stalled since the last call. Each is closed until it makes progress.
std::vector<std::string> take_stalled_groups(broker& state);

/// Takes the suspicions that are new since the last call, to be sent to the other entries at once.
std::vector<quarantine::suspicion> take_suspicions(broker& state);

/// Merges a suspicion received from another entry.
actions merge_suspicion(broker& state, const quarantine::suspicion& record, time_point now,
                        random_engine& random);

/// Contents for which this process requests an exclusive grant, or wants to keep it.
std::vector<fingerprint> wanted_turns(const broker& state);

/// Sets the exclusive grants that this process has now. A process that is cut off from those who
/// issue grants runs contents with at most one upstream crash, and refuses those with more.
actions set_exclusive_grants(broker& state, const std::vector<fingerprint>& granted,
                             bool is_cut_off, time_point now, random_engine& random);

/// Suspends the exclusive grant that this process has for a content: no further run starts under
/// it, since the outcome of the last run is not known yet.
void suspend_exclusive_grant(broker& state, fingerprint content);

/// Lifts a quarantine for an operator. `take_suspicions` returns the record for the other entries.
void lift_quarantine(broker& state, fingerprint content, time_point now);

/// Number of waiting requests.
std::size_t queued(const broker& state);

/// Number of attempts in flight on all upstreams.
std::size_t in_flight(const broker& state);

}  // namespace dewbeam::dispatch
