#include "dewbeam/src/entry/intake.h"

#include <utility>
#include <variant>

#include "dewbeam/src/entry/attempts.h"
#include "dewbeam/src/entry/classify.h"
#include "dewbeam/src/entry/endings.h"
#include "dewbeam/src/entry/refusals.h"

namespace dewbeam::entry {

namespace {

/// A request is refused for good only by a configuration that a quorum of controls confirmed within
/// this time: entries ask each 0.5 s, and controls their quorum as often.
constexpr time_span refusal_confirmation_limit = std::chrono::seconds(2);

void on_caller_disconnected(entry_state& state, const request_pointer& request)
{
    if (!request->set_caller_disconnected()) {
        return;
    }
    const auto now = program::now();
    cancel_attempt(state, request);
    finish_request(state, request, now);
    perform(state, state.m_pools.cancel(request->known().m_pool, request->known().m_ticket, now),
            now);
}

/// Submits a request to its pool. If the request ended meanwhile, its ticket is cancelled again:
/// the first cancellation may have come before the broker knew the ticket.
void submit(entry_state& state, const request_pointer& request, dispatch::request_info info,
            time_point now)
{
    const auto& known = request->known();
    if (request->is_over()) {
        return;
    }
    perform(state, state.m_pools.submit(known.m_pool, std::move(info), now), now);
    if (request->is_over()) {
        perform(state, state.m_pools.cancel(known.m_pool, known.m_ticket, now), now);
    }
}

void handle_claim_reply(entry_state& state, const request_pointer& request,
                        const dispatch::request_info& info, const control::claim_reply& reply,
                        time_point now)
{
    if (reply.m_decision == wire::ClaimReply::DECISION_GRANTED) {
        request->set_claim_granted();
        submit(state, request, info, now);
        return;
    }
    if (reply.m_decision == wire::ClaimReply::DECISION_FINISHED && reply.m_answer) {
        http::response whole;
        whole.m_status = static_cast<int>(reply.m_answer->m_status);
        for (const auto& item : reply.m_answer->m_headers) {
            whole.m_fields.push_back({item.m_name, item.m_value});
        }
        whole.m_fields.push_back({"X-Dewbeam-Replayed", "true"});
        whole.m_body = reply.m_answer->m_body;
        request->respond(std::move(whole), ledger::outcome::completed);
        finish_request(state, request, now);
        return;
    }
    fail_request(state, request, claim_refused(reply.m_decision), now);
}

/// Claims the request's idempotency key at control and submits the request once the claim is
/// granted. The request continues if its caller disconnects, because its answer is stored for a
/// resend.
void claim_then_submit(entry_state& state, const request_pointer& request,
                       dispatch::request_info info, time_point now)
{
    const auto& claim = *request->known().m_claim;
    state.m_claims.claim(
        *state.m_node, claim.m_key, claim.m_attempt, request->known().m_call.m_content,
        [&state, request, info = std::move(info)](const control::claim_reply& reply) {
            handle_claim_reply(state, request, info, reply, program::now());
        },
        now);
}

void start_request(entry_state& state, const request_pointer& request, dispatch::request_info info,
                   const std::shared_ptr<http::exchange>& answer, time_point now)
{
    state.m_requests.add(request);
    const auto& known = request->known();
    if (!known.m_claim) {
        answer->on_gone([&state, request] { on_caller_disconnected(state, request); });
    }
    if (known.m_claim && !known.m_is_claim_granted) {
        claim_then_submit(state, request, std::move(info), now);
        return;
    }
    submit(state, request, std::move(info), now);
}

void refuse_unclassified_request(entry_state& state, const caller::error& fault,
                                 const entry_request::facts& known, http::exchange& answer,
                                 time_point now)
{
    if (known.m_claim && known.m_is_claim_granted) {
        report_claim(state, *known.m_claim, {}, now);
    }
    respond_with_refusal(state, fault, known.m_request_id, answer);
}

/// Finds the selector of a request and submits it to its pool, after a claim if one is needed.
void classify_and_submit(entry_state& state, entry_request::facts known,
                         const std::shared_ptr<http::exchange>& answer, time_point now)
{
    const auto active = state.m_configuration.current();
    const auto found = classify(active->m_document, known.m_call);
    if (const auto* fault = std::get_if<caller::error>(&found)) {
        const bool is_final = known.m_may_have_run ||
                              state.m_configuration.is_confirmed(now - refusal_confirmation_limit);
        refuse_unclassified_request(state, is_final ? *fault : unconfirmed_configuration(), known,
                                    *answer, now);
        return;
    }
    const auto& match = std::get<classification>(found);
    apply(match, active->m_version, known);
    if (needs_claim(match, known)) {
        known.m_claim.emplace();
        known.m_claim->m_key = claims::claim_key(
            caller::claim_key_of(known.m_workspace, known.m_call.m_idempotency_key));
        known.m_claim->m_attempt = next_attempt_id(state);
    }
    auto info = to_request_info(match, known);
    const request_pointer request(
        new entry_request(std::move(known), answer, state.m_answer_budget));
    start_request(state, request, std::move(info), answer, now);
}

}  // namespace

void receive_call(entry_state& state, http::request&& request,
                  const std::shared_ptr<http::exchange>& answer)
{
    const auto now = program::now();
    const dispatch::ticket ticket(++state.m_last_ticket);
    const auto request_id = request_id_of(state, ticket);
    auto read = caller::read_call(request, state.m_limits);
    if (const auto* fault = std::get_if<caller::error>(&read)) {
        respond_with_refusal(state, *fault, request_id, *answer);
        return;
    }
    if (state.m_frame.phase() == lifecycle::phase::starting) {
        respond_with_refusal(state, not_ready(), request_id, *answer);
        return;
    }
    if (!state.m_frame.takes_requests(now)) {
        respond_with_refusal(state, stopping(false), request_id, *answer);
        return;
    }
    entry_request::facts known;
    known.m_ticket = ticket;
    known.m_request_id = request_id;
    known.m_call = std::get<caller::call>(std::move(read));
    known.m_caller_model = known.m_call.m_model;
    known.m_request = std::move(request);
    known.m_arrival = now;
    classify_and_submit(state, std::move(known), answer, now);
}

void resubmit(entry_state& state, const request_pointer& request, const attempt_id& id,
              time_point now)
{
    if (!request->supersede()) {
        end_attempt(state, request, id, dispatch::attempt_end::refused_busy, "stale_configuration",
                    now);
        return;
    }
    request->release(id, true);  // an agent that refuses a stale configuration has not started it
    state.m_requests.remove_attempt(id);
    state.m_requests.remove(request);
    auto known = request->known();
    known.m_is_claim_granted = request->is_claim_granted();
    known.m_may_have_run = request->may_have_run();
    perform(state, state.m_pools.cancel(known.m_pool, known.m_ticket, now), now);
    known.m_ticket = dispatch::ticket(++state.m_last_ticket);
    known.m_call.m_model = known.m_caller_model;
    if (!known.m_caller_body.empty()) {
        known.m_request.m_body = std::exchange(known.m_caller_body, {});
    }
    classify_and_submit(state, std::move(known), request->answer(), now);
}

}  // namespace dewbeam::entry
