/// \file
/// Between the claims of idempotency keys and their protobuf form, as control speaks it on links.
#pragma once

#include <optional>

#include "dewbeam.pb.h"
#include "dewbeam/src/control/replica_runner.h"

namespace dewbeam::control {

/// What an entry asks for.
claim_request to_claim_request(const wire::ClaimRequest& message);

/// The answer to the entry's request of that number.
wire::ClaimReply to_wire(const claim_answer& answer, std::uint64_t request);

/// The answer that a `wire::ClaimResult` or `wire::ClaimReply` holds; none where it holds none.
template <class Message>
std::optional<claims::kept_answer> read_kept_answer(const Message& source)
{
    if (!source.answer_held()) {
        return std::nullopt;
    }
    claims::kept_answer answer;
    answer.m_status = source.status();
    answer.m_body = source.body();
    for (const auto& item : source.headers()) {
        answer.m_headers.push_back({item.name(), item.value()});
    }
    return answer;
}

/// How a claimed attempt ended.
claim_outcome to_claim_outcome(const wire::ClaimResult& source);

}  // namespace dewbeam::control
