/// \file
/// Detects parts of prompts that crash the upstreams that begin to write an answer to them,
/// whatever else their requests hold.
///
/// Evidence against a part is the crash of an upstream shortly after it began to write for a
/// request with this part. A run that goes on for longer speaks for all parts of its prompt. The
/// last part belongs to the request alone and is left out. Reports of parts travel like those of
/// contents.
#pragma once

#include <optional>
#include <vector>

#include "dewbeam/src/gateway/gateway_request.h"
#include "dewbeam/src/gateway/lost_attempt_tracker.h"
#include "dewbeam/src/registrar/suspicion_store.h"

namespace dewbeam::gateway {

struct gateway_state;

/// Keys of the prompt's parts in a pool, the last part left out.
std::vector<fingerprint> part_keys_of(const caller_call& call, const std::string& pool);

/// The parts with the orders of crash reports for a run that starts now.
std::vector<part_evidence> begin_part_run(const gateway_state& state,
                                          const gateway_request::facts& known);

/// Whether a crash of the upstream now may be due to a prompt part of an attempt whose answer began
/// at `since`; empty: it had not begun.
bool is_part_evidence(const sent_attempt& sent, const std::optional<time_point>& since,
                      time_point now);

/// Whether a run that began to write at `since` speaks for its parts.
bool has_outlived_crash(time_point since, time_point now);

/// Records that a run with these parts went well.
void note_good_part_run(gateway_state& state, const request_pointer& request, time_point now);

/// Reports a crash of an upstream, or its retraction, for the parts of a lost attempt.
void report_parts(gateway_state& state, const lost_attempt& loss,
                  const quarantine::crash_report& crash, const char* reason, time_point now);

/// Whether a suspicion is about a prompt part instead of a whole content.
bool is_about_part(const registrar::pooled_suspicion& subject);

/// Applies a suspicion of a part that the registries reported.
void apply_part_suspicion(gateway_state& state, const registrar::pooled_suspicion& received,
                          time_point now);

/// The refusal for a request with a quarantined part; empty if it has none.
std::optional<gateway_error> quarantined_part_refusal(const gateway_state& state,
                                                      const gateway_request::facts& known,
                                                      time_point now);

}  // namespace dewbeam::gateway
