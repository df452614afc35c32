/// \file
/// The life of one request inside a broker: waiting, running, given up.
#pragma once

#include <optional>
#include <vector>

#include "dewbeam/src/dispatch/broker.h"

namespace dewbeam::dispatch {

/// The part of the broker's options that the route table needs.
route_options options_of(const broker& state);

/// The lane in which a request waits.
lane& lane_of(const pending_request& request);

/// Whether something waits in a lane.
bool is_waiting(const lane& subject);

/// The queue of a lane for requests that can still meet their objective, or for the others.
fairness::fair_queue& queue_of(lane& subject, bool is_late);

/// Whether the request can hardly meet its latency objective any more.
bool is_late(const pending_request& request, time_point now);

/// Puts a request into a queue of its lane.
void enqueue(pending_request& request, bool is_late);

/// Upstreams that the request may be sent to.
std::uint32_t most_attempts(const broker& state, const pending_request& request);

/// What a request costs its workspace: tokens over the selector's weight.
double cost_of(const request_info& info);

/// An attempt took from its dispatch until `now`.
void note_run(const pending_request& request, time_point now);

/// A request begins to wait, until `waits_until` at the latest.
void begin_waiting(broker& state, pending_request& request, request_phase phase,
                   time_point waits_until);

/// Takes a waiting request out of the queue or list that it is in; others stay as they are.
void stop_waiting(broker& state, pending_request& request, time_point now);

/// The upstream that was held for a suspect is free again.
void end_hold(broker& state, const pending_request& request, time_point now);

/// Whether a request may not be dispatched, as its content is suspected and not in turn.
bool must_wait_as_suspect(const broker& state, const pending_request& request, time_point now);

/// A suspect begins to wait for an upstream of its own, or for its turn.
void wait_as_suspect(broker& state, pending_request& request, time_point waits_until,
                     time_point now);

/// A request begins to wait for its first dispatch.
void wait_in_queue(broker& state, pending_request& request, time_point now);

/// A request begins to wait for another dispatch.
void wait_for_retry(broker& state, pending_request& request, time_point waits_until);

/// Forgets a request that neither waits nor runs.
void forget(broker& state, pending_request& request);

/// What one more request of this workspace would meet in its queue.
admission::queue_facts facts_of(const broker& state, const pending_request& request,
                                time_point now);

/// Where the request's content stands.
quarantine::standing standing_of(const broker& state, const request_info& info, time_point now);

/// Whether no upstream of the route can take a request, now or in a moment.
bool is_hopeless(const broker& state, const route& subject, time_point now);

/// Why a waiting request can't go any more; none while it still can.
std::optional<refusal> lost_cause(const broker& state, const pending_request& request,
                                  time_point now);

/// Gives a request its final answer and forgets it.
void give_up(broker& state, pending_request& request, refusal reason, time_point now,
             random_engine& random, actions& result);

/// Sends a request that does not wait any more to the chosen upstream.
void start(broker& state, pending_request& request, const choice& chosen, bool alone,
           time_point now, actions& result);

/// A running request leaves its upstream.
void release(broker& state, pending_request& request, time_point now);

/// A running request's upstream is silent, for now.
void note_silence(pending_request& request, time_point now);

/// The upstream goes on, or the request leaves it.
void end_silence(pending_request& request);

/// Gives up what waited until its deadline.
void refuse_lapsed(broker& state, time_point now, random_engine& random, actions& result);

/// The first few requests of a list, so that a long list can't slow down every call.
std::vector<pending_request*> first_of(fairness::item_list& list);

}  // namespace dewbeam::dispatch
