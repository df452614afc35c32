#include "dewbeam/src/entry/endings.h"

#include <utility>

namespace dewbeam::entry {

void respond_with_refusal(entry_state& state, const caller::error& fault,
                          const std::string& request_id, http::exchange& answer)
{
    log_event(log_level::info, "request_refused",
              {{"request", request_id}, {"status", fault.m_status}, {"code", fault.m_code}});
    request_result result;
    result.m_status = fault.m_status;
    result.m_code = fault.m_code;
    state.m_metrics.request_ended("", result, {}, {});
    answer.respond(caller::to_response(fault, request_id));
}

void report_claim(entry_state& state, const request_claim& claim, const request_result& result,
                  time_point now)
{
    wire::ClaimResult message;
    message.set_key(claim.m_key.value());
    link::to_wire(claim.m_attempt, *message.mutable_attempt());
    message.set_outcome(link::to_wire(result.m_outcome));
    if (result.m_answer) {
        message.set_answer_held(true);
        message.set_status(result.m_answer->m_status);
        message.set_body(result.m_answer->m_body);
        for (const auto& item : result.m_answer->m_headers) {
            auto& header = *message.add_headers();
            header.set_name(item.m_name);
            header.set_value(item.m_value);
        }
    }
    state.m_claims.report(*state.m_node, std::move(message), now);
}

void fail_request(entry_state& state, const request_pointer& request, const caller::error& fault,
                  time_point now)
{
    request->fail(fault);
    finish_request(state, request, now);
}

void finish_request(entry_state& state, const request_pointer& request, time_point now)
{
    state.m_requests.remove(request);
    const auto& known = request->known();
    const auto result = request->result();
    state.m_metrics.request_ended(known.m_selector, result, result.m_first_byte - known.m_arrival,
                                  now - known.m_arrival);
    if (known.m_claim && request->is_claim_granted()) {
        report_claim(state, *known.m_claim, result, now);
    }
    state.m_burn.record({known.m_selector, known.m_workspace_class}, known.m_target, result,
                        result.m_first_byte - known.m_arrival, program::wall_now());
    log_event(log_level::info, "request_ended",
              {{"request", known.m_request_id},
               {"selector", known.m_selector},
               {"workspace", known.m_workspace},
               {"status", result.m_status},
               {"code", result.m_code},
               {"gone", result.m_is_caller_disconnected},
               {"us", (now - known.m_arrival).count()}});
}

}  // namespace dewbeam::entry
