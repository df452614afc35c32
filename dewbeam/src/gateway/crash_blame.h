/// \file
/// Detects request contents that crash the upstreams that run them: from the gateway's own
/// observations, which it reports to the registries, and from the reports it receives from them.
///
/// An attempt that ends without an answer, or right before a crash, is not attributed to its
/// content by itself, since connections break for many reasons. Only the end of the upstream's
/// process is: its host refuses connections, another process has its name or address, or its
/// announcements stop while those of its neighbours continue. Neighbours whose hosts refuse
/// connections don't count. An upstream that left as planned causes no suspicion.
#pragma once

#include <functional>
#include <vector>

#include "dewbeam/registry"
#include "dewbeam/src/gateway/gateway_request.h"
#include "dewbeam/src/gateway/good_runs.h"
#include "dewbeam/src/gateway/lost_attempt_tracker.h"
#include "dewbeam/src/registrar/suspicion_store.h"

namespace dewbeam::gateway {

struct gateway_state;

/// Handles an attempt whose connection ended before the answer was complete. `then` is called once
/// it is known whether the upstream crashed, or after a short time if that can't be determined. A
/// retry sent earlier could crash another upstream. `has_part_evidence` says that the prompt has
/// parts and that a crash may be due to one of them.
void handle_broken_attempt(gateway_state& state, const request_pointer& request,
                           const sent_attempt& sent, bool has_part_evidence,
                           std::function<void()> then, time_point now);

/// Handles an attempt that is late or was given up while its upstream has not started to answer.
void check_unanswered_attempt(gateway_state& state, const request_pointer& request,
                              const sent_attempt& sent, time_point now);

/// Handles an attempt that was answered completely. Its run counts as good once its upstream has
/// outlived it: a process may crash behind its answer.
void handle_answered_attempt(gateway_state& state, const request_pointer& request,
                             const sent_attempt& sent, time_point now);

/// Handles an attempt whose upstream could not be reached. If its host refuses connections, the
/// contents that it ran last are blamed.
void check_unreachable_upstream(gateway_state& state, const sent_attempt& sent);

/// Handles the end of an idle connection to an upstream. Right behind an answer, or a broken
/// attempt, it may be the first sign of a crash.
void check_idle_end(gateway_state& state, const upstream_incarnation& where, time_point now);

/// Records that an upstream answered, which retracts reports that it crashed.
void record_upstream_answer(gateway_state& state, const sent_attempt& sent, time_point now);

/// Handles a change of an upstream reported by the registries. Call it before the upstream table is
/// updated with the change.
void handle_upstream_change(gateway_state& state, const registry::record& changed, time_point now);

/// Applies a suspicion that the registries reported.
void apply_suspicion(gateway_state& state, const registrar::pooled_suspicion& received,
                     time_point now);

/// Applies the exclusive grants: the suspected contents that this gateway may run now.
void apply_exclusive_grants(gateway_state& state, const std::vector<fingerprint>& granted,
                            time_point now);

/// Requests the exclusive grants that are needed. Called on each tick.
void request_exclusive_grants(gateway_state& state, time_point now);

/// Reports unresponsive upstreams that did not recover. Called less often than each tick.
void report_unresponsive_upstreams(gateway_state& state, time_point now);

}  // namespace dewbeam::gateway
