#include "dewbeam/src/control/claim_wire.h"

#include "dewbeam/link"

namespace dewbeam::control {

namespace {

wire::ClaimReply::Decision to_wire(claims::decision value)
{
    switch (value) {
        case claims::decision::granted:
            return wire::ClaimReply::DECISION_GRANTED;
        case claims::decision::running:
            return wire::ClaimReply::DECISION_RUNNING;
        case claims::decision::finished:
            return wire::ClaimReply::DECISION_FINISHED;
        case claims::decision::unknown:
            return wire::ClaimReply::DECISION_UNKNOWN;
        case claims::decision::mismatch:
            return wire::ClaimReply::DECISION_MISMATCH;
        case claims::decision::withdrawn:
            return wire::ClaimReply::DECISION_WITHDRAWN;
        case claims::decision::full:
            break;
    }
    return wire::ClaimReply::DECISION_FULL;
}

}  // namespace

claim_request to_claim_request(const wire::ClaimRequest& message)
{
    claim_request wanted;
    wanted.m_key = claims::claim_key(message.key());
    wanted.m_attempt = link::from_wire(message.attempt());
    wanted.m_agent = host_id(message.agent());
    wanted.m_fingerprint = fingerprint(message.fingerprint());
    return wanted;
}

wire::ClaimReply to_wire(const claim_answer& answer, std::uint64_t request)
{
    wire::ClaimReply reply;
    reply.set_request(request);
    const auto* verdict = std::get_if<claims::verdict>(&answer);
    if (verdict == nullptr) {
        reply.set_decision(wire::ClaimReply::DECISION_NO_QUORUM);
        return reply;
    }
    reply.set_decision(to_wire(verdict->m_decision));
    link::to_wire(verdict->m_attempt, *reply.mutable_attempt());
    reply.set_agent(verdict->m_agent.value());
    if (verdict->m_answer) {
        reply.set_answer_held(true);
        reply.set_status(verdict->m_answer->m_status);
        reply.set_body(verdict->m_answer->m_body);
        for (const auto& item : verdict->m_answer->m_headers) {
            auto& header = *reply.add_headers();
            header.set_name(item.m_name);
            header.set_value(item.m_value);
        }
    }
    return reply;
}

claim_outcome to_claim_outcome(const wire::ClaimResult& source)
{
    claim_outcome result;
    result.m_key = claims::claim_key(source.key());
    result.m_attempt = link::from_wire(source.attempt());
    result.m_outcome = link::from_wire(source.outcome());
    result.m_answer = read_kept_answer(source);
    return result;
}

}  // namespace dewbeam::control
