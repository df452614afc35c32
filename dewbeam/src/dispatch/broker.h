/// \file
/// The broker of one pool: which request goes to which upstream, when, and which is refused.
///
/// A pool is all work for one model or one plain service. The broker is a plain struct; every
/// function takes the time and the random engine, and gives back what the program must do.
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
#include "dewbeam/src/dispatch/group_pulse.h"
#include "dewbeam/src/dispatch/request.h"
#include "dewbeam/src/dispatch/route_table.h"
#include "dewbeam/turns"

namespace dewbeam::dispatch {

/// Limits and preferences of a broker.
struct broker_options {
    failure_domain_id m_failure_domain;
    std::size_t m_most_queued = 10'000;
    std::uint32_t m_entries_sharing = 1;  ///< entries that dispatch to the same upstreams
    host_id m_entry;                      ///< this entry, for its subset of upstreams
    std::size_t m_subset_size = 64;       ///< upstreams of a route in the own domain and elsewhere
    choice_options m_choice;
    health_options m_health;
    /// A request that must be sent again waits for so long for an upstream with room.
    time_span m_longest_retry_wait = std::chrono::seconds(1);
    /// Requests wait for so long for upstreams that can't be heard, where there are no others:
    /// longer than membership takes to tell a member that died from one that is late.
    time_span m_longest_doubt = std::chrono::milliseconds(2500);
    fairness::class_options m_classes;
    admission::queue_options m_queue;  ///< its `m_most_queued` is the one above
    retry::budget_options m_retries;
    routing::prefix_options m_prefixes;
    std::uint32_t m_most_attempts = 3;
    /// Refuse what will probably not be over by its deadline. Off where the time of a run is only
    /// known from callers' own estimates, which are often far off.
    bool m_runs_must_fit = true;
    /// Requests wait for an able upstream until their wait deadline where there is none. For pools
    /// whose upstreams are learned while requests arrive, as after a start.
    bool m_waits_for_upstreams = false;
    double m_alone_share = 0.25;  ///< upstreams of a route that may run suspects at once
    /// A suspect starts no sooner, so that what other entries have learned of it arrives first:
    /// longer than a suspicion takes from entry to entry.
    time_span m_suspect_pause = std::chrono::milliseconds(200);
    quarantine::quarantine_options m_quarantine;
    /// Suspects run where others do, but one copy at a time over all processes, by turns that the
    /// program obtains (`wanted_turns`). Off: each runs alone, on an upstream that is held for it.
    bool m_suspects_take_turns = false;
};

/// This process's turn to run a suspected content.
struct suspect_turn {
    bool m_is_granted = false;
    ticket m_runs;  ///< the request that uses it now; none: 0
};

/// A deadline of a waiting request.
struct queued_deadline {
    time_point m_deadline{};
    ticket m_ticket;
};

/// The state. The unordered maps are only looked up, so that no result depends on a hash.
struct broker {
    broker_options m_options;
    route_table m_table;
    routing::prefix_index m_prefixes;
    routing::speed_estimate m_speed;
    slowness m_pool_speed;  ///< mean time to a first token
    group_pulses m_pulses;
    std::vector<std::string> m_new_still_groups;  ///< not yet taken by the program
    time_point m_answered_dispatch{};             ///< latest dispatch that brought a first token
    fairness::class_share m_class_share;
    retry::budget m_retry_budget;
    quarantine::suspicion_table m_suspicions;
    std::unordered_map<ticket, pending_request> m_requests;
    std::vector<queued_deadline> m_deadlines;             ///< a heap, the earliest first
    std::vector<quarantine::suspicion> m_new_suspicions;  ///< not yet taken by the program
    std::map<fingerprint, suspect_turn> m_turns;
    bool m_is_cut_off = false;  ///< nobody can grant turns
    std::size_t m_waiting = 0;  ///< requests that are not running
    time_point m_last_submit{};
    turn_watch m_ticks;
    double m_block_tokens = 0.0;  ///< of a prefix block; 0: not known
};

/// A new request arrives. Its ticket must not be in the broker.
actions submit(broker& state, request_info info, time_point now, random_engine& random);

/// The first token, or the first byte of a plain answer, arrived.
/// \returns whether its upstream's group, which had refused, turns out to serve again
bool first_token(broker& state, ticket request, time_point now);

/// A running stream had an event after its first.
/// \returns whether its upstream's group, which had been found still, turns out to go on
bool next_event(broker& state, ticket request, time_point now);

/// An attempt ended; the request is retried, refused or forgotten. `upstream_died` is for a
/// process that went away while it ran the request: it makes the request a crash suspect.
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

/// Time passed: deadlines in the queue, leases, waiting retries. Call it every 50 ms or sooner; a
/// call that comes later than that shows that this process was held up.
actions tick(broker& state, time_point now, random_engine& random);

/// An upstream says what its prefix cache stored or removed.
void cache_event(broker& state, const upstream_id& name, const routing::cache_event& event);

/// An upstream's fault failed an attempt, or it answered one; true where it is closed for a while.
bool note_result(broker& state, const upstream_id& name, upstream_result how, time_point now);

/// An upstream refused by the fault of another rank of its group; true where the group is closed
/// for it.
bool note_group_refusal(broker& state, const upstream_id& name, time_point now);

/// Whether a running request is late by its upstream's own fault: others that were sent off more
/// than `margin` after it, to other upstreams, have their first token already. For one at a group
/// that makes no steps a part of that margin will do.
bool is_outrun(const broker& state, ticket request, time_span margin);

/// The upstream of a running request answers nothing; to be said again each half second while that
/// lasts. An idempotent request is dispatched anew as soon as an upstream takes it that it was not
/// sent to before: the caller of the broker ends the attempt before. Until then, or until the
/// upstream goes on, it stays where it is.
actions upstream_is_silent(broker& state, ticket request, time_point now, random_engine& random);

/// The further permits wanted for each limited upstream; the count may be zero.
std::vector<permits::demand> wanted_permits(const broker& state, time_point now);

/// Adds issued permits. Each allows one request to a limited upstream until `deadline`.
actions add_permits(broker& state, const upstream_id& name, std::uint32_t count,
                    time_point deadline, time_point now, random_engine& random);

/// The entries that now share the upstreams, and this entry's retries.
void set_sharing(broker& state, std::uint32_t entries, const retry::budget_options& retries);

/// Groups that were found to make no steps since the last call; they are closed until one does.
std::vector<std::string> take_still_groups(broker& state);

/// Suspicions that are new since the last call, to be sent to the other entries at once.
std::vector<quarantine::suspicion> take_suspicions(broker& state);

/// A suspicion came from another entry.
actions merge_suspicion(broker& state, const quarantine::suspicion& record, time_point now,
                        random_engine& random);

/// Contents for which this process wants to have, or to keep, the turn.
std::vector<fingerprint> wanted_turns(const broker& state);

/// The turns that this process has now. A process that is cut off from those who grant turns runs
/// what one upstream died of, and refuses what more of them did.
actions set_turns(broker& state, const std::vector<fingerprint>& granted, bool is_cut_off,
                  time_point now, random_engine& random);

/// Nothing more of a content begins by the turn that this process has now, since it isn't known yet
/// how the last run ended.
void suspend_turn(broker& state, fingerprint content);

/// An operator lifts a quarantine; the record goes to the other entries by `take_suspicions`.
void lift_quarantine(broker& state, fingerprint content, time_point now);

/// Requests that wait.
std::size_t queued(const broker& state);

/// Attempts under way on all upstreams.
std::size_t in_flight(const broker& state);

}  // namespace dewbeam::dispatch
