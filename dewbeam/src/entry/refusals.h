/// \file
/// The errors that callers receive when a request is refused or fails.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/caller"
#include "dewbeam/dispatch"

namespace dewbeam::entry {

/// The caller's error for a refusal by a broker. If some attempt `may_have_run`, the error doesn't
/// claim that the request was not run, and has no Retry-After.
caller::error to_error(const dispatch::action& refusal, bool may_have_run, time_point now);

/// No work selector matches the request's labels.
caller::error no_selector(const configuration::label_set& labels);

/// The configuration refuses the request, but a newer one that admits it may have been accepted.
caller::error unconfirmed_configuration();

/// The token is missing or belongs to no workspace.
caller::error not_authorized();

/// The workspace that the caller names does not exist.
caller::error unknown_workspace();

/// The selector requires an Idempotency-Key and the caller sent none.
caller::error key_required(const std::string& selector);

/// The deadline passed while the request may have been running.
caller::error deadline_exceeded();

/// The upstream's answer was interrupted after part of it was delivered, and can't be resumed.
caller::error broken_stream();

/// The error for a claim that was not granted.
caller::error claim_refused(wire::ClaimReply::Decision decision);

/// This process stops before it could finish the request.
caller::error stopping(bool may_have_run);

/// The entry is still starting.
caller::error not_ready();

}  // namespace dewbeam::entry
