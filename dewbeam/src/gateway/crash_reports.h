/// \file
/// Reports of contents whose attempts were lost, or answered right before, where an upstream ended,
/// and what outweighs them: runs that ended well, and upstreams that turn out alive.
#pragma once

#include <string>
#include <vector>

#include "dewbeam/src/gateway/good_runs.h"
#include "dewbeam/src/gateway/lost_attempt_tracker.h"
#include "dewbeam/src/registrar/suspicion_store.h"

namespace dewbeam::gateway {

struct gateway_state;

/// Logs an event of a content or of a prompt part. `upstream` may be empty.
void log_suspicion(const gateway_state& state, const char* event,
                   const registrar::pooled_suspicion& subject, const std::string& upstream,
                   const char* reason, time_point now);

/// Offsets each new crash report of a content, or of a prompt part, with a successful run in
/// `runs`, which is guarded by the mutex of the crash tracker. Returns the records that changed.
std::vector<registrar::pooled_suspicion> offset_crash_reports(gateway_state& state, good_runs& runs,
                                                              const quarantine::suspicion& update,
                                                              time_point now);

/// The process has ended, so every content whose attempt was lost on it, or answered right before,
/// becomes a suspect.
void confirm_crash(gateway_state& state, const upstream_incarnation& where, const char* reason,
                   time_point now);

/// Counts a run that its upstream has outlived: outweighs a crash report of its content, or is kept
/// for one that may come.
void count_good_run(gateway_state& state, fingerprint content, time_point now);

/// Drops the attempts at an upstream that was found alive at `now` and has outlived them. Those
/// that were answered are good runs.
void forget_outlived_attempts(gateway_state& state, const upstream_incarnation& where,
                              const char* reason, time_point now);

/// Retracts the reports on an upstream that was presumed crashed but continues in the same
/// incarnation.
void retract_reports(gateway_state& state, const upstream_incarnation& where, time_point now);

/// Reports the losses on an unresponsive upstream and records them, since the reports may have to
/// be retracted.
void report_unresponsive(gateway_state& state, const upstream_incarnation& where, bool is_doubtful,
                         const char* reason, time_point now);

/// Takes in a suspicion of a content that the registries told of.
void take_suspicion(gateway_state& state, const registrar::pooled_suspicion& received,
                    time_point now);

}  // namespace dewbeam::gateway
