/// \file
/// Lifecycle of a request inside a broker: waiting, running, refused.
#pragma once

#include <optional>
#include <vector>

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// The part of the broker's options that the route table needs.
route_options options_of(const broker& state);

/// The lane in which a request waits.
lane& lane_of(const pending_request& request);

/// Whether any request waits in a lane.
bool is_waiting(const lane& subject);

/// The queue of a lane for requests that can still meet their latency objective, or the late queue.
fairness::fair_queue& queue_of(lane& subject, bool is_late);

/// Whether the request will probably miss its latency objective.
bool is_late(const pending_request& request, time_point now);

/// Puts a request into a queue of its lane. Under overload control, late requests wait in the order
/// in which they became late, whatever their workspaces: turns of workspaces would pass over
/// requests whose callers leave first.
void enqueue(const broker& state, pending_request& request, bool is_late);

/// Max attempts of the request.
std::uint32_t max_attempts_of(const broker& state, const pending_request& request);

/// Takes what it costs to send a request again that an upstream may have received. This bounds all
/// that is sent beyond first attempts: one that ended by itself costs one of the request's attempts
/// and a retry; one that was cancelled, as its way was lost or its upstream is unresponsive
/// (`attempt_end::lost`), a retry that may be borrowed. Returns false if none is left.
bool take_repeat(broker& state, pending_request& request, attempt_end end, time_point now,
                 random_engine& random);

/// The running attempt has arrived, or has ended; if it was a retry, the budget is told.
void settle_repeat(broker& state, pending_request& request, bool may_still_arrive, time_point now);

/// Cost of a request for its workspace: tokens divided by the selector's weight.
double cost_of(const request_info& info);

/// Records the run time of an attempt that completed now.
void note_run(const pending_request& request, time_point now);

/// Starts a request's wait, until `waits_until` at the latest.
void begin_waiting(broker& state, pending_request& request, request_phase phase,
                   time_point waits_until);

/// Removes a waiting request from its queue or list; does nothing for requests that don't wait.
void stop_waiting(broker& state, pending_request& request, time_point now);

/// Releases the upstream that is held for a suspect.
void end_hold(broker& state, const pending_request& request, time_point now);

/// Whether a request may not be dispatched now: its content is suspected of crashes, and this
/// process has no unused exclusive grant for it.
bool must_wait_as_suspect(const broker& state, const pending_request& request, time_point now);

/// Starts the wait of a suspect for an upstream to run in isolation, or for an exclusive grant.
void wait_as_suspect(broker& state, pending_request& request, time_point waits_until,
                     time_point now);

/// Starts the wait of a request for its first dispatch.
void wait_in_queue(broker& state, pending_request& request, time_point now);

/// Starts the wait of a request for another dispatch.
void wait_for_retry(broker& state, pending_request& request, time_point waits_until);

/// Erases a request that neither waits nor runs.
void forget(broker& state, pending_request& request);

/// What one more request of this workspace would find in its queue.
admission::queue_facts facts_of(const broker& state, const pending_request& request,
                                time_point now);

/// Whether the request's content is clear, a crash suspect or quarantined.
quarantine::standing standing_of(const broker& state, const request_info& info, time_point now);

/// Whether no upstream of the route can take a request now or shortly.
bool is_unservable(const broker& state, const route& subject, time_point now);

/// Reason why a request can't be dispatched any more; `nullopt` while it can.
std::optional<refusal> refusal_if_unservable(const broker& state, const pending_request& request,
                                             time_point now);

/// Whether a request that may wait until `waits_until` can't be dispatched before then, since all
/// upstreams that could take it asked for longer backoffs.
bool outwaits_backoffs(const broker& state, const pending_request& request, time_point waits_until,
                       time_point now);

/// Refuses the waiting requests whose upstreams all asked for longer backoffs than they may wait.
void refuse_backed_off(broker& state, time_point now, random_engine& random, actions& result);

/// Refuses a request and erases it.
void refuse_request(broker& state, pending_request& request, refusal reason, time_point now,
                    random_engine& random, actions& result);

/// Dispatches a request that no longer waits to the chosen upstream.
void start(broker& state, pending_request& request, const choice& chosen, bool alone,
           time_point now, actions& result);

/// Detaches a running request from its upstream.
void release(broker& state, pending_request& request, time_point now);

/// Records that a running request's upstream is unresponsive; expires unless repeated.
void note_unresponsive(pending_request& request, time_point now);

/// Ends this state: the upstream responds again, or the request leaves it.
void end_unresponsive(pending_request& request);

/// Refuses requests whose wait expired.
void refuse_expired(broker& state, time_point now, random_engine& random, actions& result);

/// The first few requests of a list; bounds the work per call for a long list.
std::vector<pending_request*> first_of(fairness::item_list& list);

/// The limits of the upstreams that share a `step_key`. Gateways begin with different credits.
step_limits& step_limits_of(broker& state, const std::string& key);

}  // namespace dewbeam::dispatch
