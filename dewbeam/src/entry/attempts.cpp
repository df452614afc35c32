#include "dewbeam/src/entry/attempts.h"

#include <utility>

#include "dewbeam/src/entry/endings.h"
#include "dewbeam/src/entry/refusals.h"
#include "dewbeam/src/entry/suspicions.h"

namespace dewbeam::entry {

namespace {

const char* to_text(dispatch::attempt_end end)
{
    switch (end) {
        case dispatch::attempt_end::completed:
            return "completed";
        case dispatch::attempt_end::not_run:
            return "not_run";
        case dispatch::attempt_end::not_reached:
            return "not_reached";
        case dispatch::attempt_end::refused_busy:
            return "refused_busy";
        case dispatch::attempt_end::unknown:
            return "unknown";
        case dispatch::attempt_end::unanswered:
            return "unanswered";
        case dispatch::attempt_end::lost:
            return "lost";
        case dispatch::attempt_end::upstream_died:
            return "upstream_died";
        case dispatch::attempt_end::cancelled:
            break;
    }
    return "cancelled";
}

/// Fails a request whose partly delivered stream can't be resumed, unless it is over already, and
/// cancels its ticket.
void fail_broken_stream(entry_state& state, const request_pointer& request, time_point now)
{
    if (!request->is_over()) {
        fail_request(state, request, broken_stream(), now);
    }
    perform(state, state.m_pools.cancel(request->known().m_pool, request->known().m_ticket, now),
            now);
}

void send_cancel(entry_state& state, const attempt_id& id, const std::string& address)
{
    wire::Envelope message;
    link::to_wire(id, *message.mutable_cancel()->mutable_attempt());
    state.m_node->send(address, std::move(message));
}

void send_tombstone(entry_state& state, const owned_attempt& attempt)
{
    wire::Envelope message;
    auto& tombstone = *message.mutable_tombstone();
    link::to_wire(attempt.m_id, *tombstone.mutable_attempt());
    tombstone.set_agent_incarnation(attempt.m_agent.value());
    state.m_node->send(attempt.m_agent_address, std::move(message));
}

/// Cancels an attempt at its agent. The dispatch and the cancellation may travel on different
/// connections; if the agent reads the cancellation first, the tombstone keeps it from starting the
/// attempt when the dispatch arrives.
void retract(entry_state& state, const owned_attempt& attempt)
{
    send_cancel(state, attempt.m_id, attempt.m_agent_address);
    send_tombstone(state, attempt);
}

void log_end(entry_state& state, const request_pointer& request, const attempt_id& id,
             dispatch::attempt_end end, std::string_view reason)
{
    state.m_metrics.attempt_failed(to_text(end));
    log_event(log_level::info, "attempt_ended",
              {{"request", request->known().m_request_id},
               {"attempt", id.m_sequence},
               {"end", to_text(end)},
               {"reason", reason}});
}

/// Ends the request's current attempt, if there is one, because the broker dispatches the request
/// again. Returns false if the attempt ended by itself in the meantime; the code path that handled
/// that end then notifies the broker.
bool release_unresponsive_attempt(entry_state& state, const request_pointer& request)
{
    const auto left = request->attempt();
    if (left.m_id.m_sequence == 0) {
        return true;
    }
    if (!request->release_unless_over(left.m_id)) {
        return false;
    }
    state.m_requests.remove_attempt(left.m_id);
    retract(state, left);
    log_end(state, request, left.m_id, dispatch::attempt_end::lost, "upstream_silent");
    return true;
}

void begin_attempt(entry_state& state, const request_pointer& request,
                   const dispatch::action& action, time_point now)
{
    if (!release_unresponsive_attempt(state, request)) {
        return;
    }
    owned_attempt attempt;
    attempt.m_id = next_attempt_id(state);
    attempt.m_agent_address = state.m_members.address_of(action.m_upstream);
    attempt.m_agent = action.m_incarnation;
    const auto id = attempt.m_id;
    const auto address = attempt.m_agent_address;
    auto message = request->assign_attempt(action, std::move(attempt),
                                           state.m_configuration.current()->m_version, now);
    if (!message) {
        fail_broken_stream(state, request, now);
        return;
    }
    state.m_requests.add_attempt(id, request);
    state.m_metrics.dispatched();
    log_event(log_level::info, "attempt_dispatched",
              {{"request", request->known().m_request_id},
               {"attempt", id.m_sequence},
               {"upstream", action.m_upstream.value()}});
    wire::Envelope envelope;
    *envelope.mutable_dispatch() = *std::move(message);
    if (address.empty() || !state.m_node->send(address, std::move(envelope))) {
        end_attempt(state, request, id, dispatch::attempt_end::not_run, "not_sent", now);
    }
    else if (request->attempt().m_id != id) {
        send_cancel(state, id, address);  // another thread ended the attempt before it was sent
    }
}

}  // namespace

void perform(entry_state& state, const dispatch::actions& wanted, time_point now)
{
    for (const auto& action : wanted) {
        const auto request = state.m_requests.find(action.m_ticket);
        if (!request) {
            continue;  // the request ended in the meantime
        }
        if (action.m_kind == dispatch::action::kind::refuse) {
            fail_request(state, request, to_error(action, request->may_have_run(), now), now);
        }
        else {
            begin_attempt(state, request, action, now);
        }
    }
}

void cancel_attempt(entry_state& state, const request_pointer& request)
{
    const auto attempt = request->attempt();
    if (attempt.m_id.m_sequence == 0) {
        return;
    }
    state.m_requests.remove_attempt(attempt.m_id);
    send_cancel(state, attempt.m_id, attempt.m_agent_address);
}

void end_attempt(entry_state& state, const request_pointer& request, const attempt_id& id,
                 dispatch::attempt_end end, std::string_view reason, time_point now)
{
    if (!request->release(id, retry::is_never_begun(end))) {
        return;
    }
    state.m_requests.remove_attempt(id);
    if (end != dispatch::attempt_end::completed) {
        log_end(state, request, id, end, reason);
    }
    const auto& known = request->known();
    if (end == dispatch::attempt_end::completed) {
        finish_request(state, request, now);
    }
    const auto wanted = state.m_pools.attempt_ended(known.m_pool, known.m_ticket, end, now);
    if (end == dispatch::attempt_end::upstream_died) {
        // The other entries must learn of the suspicion before the caller can retry at one of them.
        broadcast_suspicions(state, now);
    }
    perform(state, wanted, now);
}

void end_attempts_at(entry_state& state, const std::string& address, std::string_view reason,
                     time_point now)
{
    // A restarted agent no longer runs its attempts. After a lost link the agent may still be fine.
    const auto end =
        reason == link_lost ? dispatch::attempt_end::lost : dispatch::attempt_end::unknown;
    for (const auto& request : state.m_requests.all()) {
        const auto attempt = request->attempt();
        if (attempt.m_agent_address != address) {
            continue;
        }
        const bool is_suspect =
            attempt.m_is_acknowledged &&
            state.m_losses.note(request->known().m_call.m_content, {address, attempt.m_agent}, now);
        retract(state, attempt);
        end_attempt(state, request, attempt.m_id,
                    is_suspect ? dispatch::attempt_end::upstream_died : end, reason, now);
    }
}

namespace {

void cancel_and_fail(entry_state& state, const request_pointer& request, const caller::error& fault,
                     time_point now)
{
    const auto& known = request->known();
    cancel_attempt(state, request);
    fail_request(state, request, fault, now);
    perform(state, state.m_pools.cancel(known.m_pool, known.m_ticket, now), now);
}

}  // namespace

void fail_all_requests(entry_state& state, time_point now)
{
    for (const auto& request : state.m_requests.all()) {
        cancel_and_fail(state, request, stopping(request->may_have_run()), now);
    }
}

void check_request_deadlines(entry_state& state, const request_pointer& request, time_point now)
{
    const auto attempt = request->attempt();
    if (attempt.m_id.m_sequence == 0) {
        return;
    }
    if (request->known().m_deadline <= now) {
        cancel_and_fail(state, request, deadline_exceeded(), now);
    }
    else if (request->begin_tombstone(now)) {
        send_tombstone(state, attempt);
    }
    else if (request->is_gap_expired(now)) {
        retract(state, attempt);
        end_attempt(state, request, attempt.m_id, dispatch::attempt_end::unknown, "chunk_missing",
                    now);
    }
    else if (request->is_tombstone_late(now)) {
        retract(state, attempt);
        end_attempt(state, request, attempt.m_id, dispatch::attempt_end::unknown,
                    "not_acknowledged", now);
    }
}

}  // namespace dewbeam::entry
