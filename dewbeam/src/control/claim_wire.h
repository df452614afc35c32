/// \file
/// Between the claims of idempotency keys and their protobuf form, as control speaks it on links.
#pragma once

#include "dewbeam.pb.h"
#include "dewbeam/src/control/replica_runner.h"

namespace dewbeam::control {

/// What an entry asks for.
claim_request to_claim_request(const wire::ClaimRequest& message);

/// The answer to the entry's request of that number.
wire::ClaimReply to_wire(const claim_answer& answer, std::uint64_t request);

/// How a claimed attempt ended.
claim_outcome to_claim_outcome(const wire::ClaimResult& source);

}  // namespace dewbeam::control
