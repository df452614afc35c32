#include "dewbeam/src/entry/messages.h"

#include <algorithm>
#include <utility>

#include "dewbeam/src/entry/attempts.h"
#include "dewbeam/src/entry/intake.h"
#include "dewbeam/src/entry/member_feed.h"
#include "dewbeam/src/entry/peers.h"
#include "dewbeam/src/entry/suspicion_wire.h"

namespace dewbeam::entry {

namespace {

dispatch::attempt_end to_end(chunk_effect effect)
{
    switch (effect) {
        case chunk_effect::completed:
            return dispatch::attempt_end::completed;
        case chunk_effect::not_run:
            return dispatch::attempt_end::not_run;
        case chunk_effect::busy:
        case chunk_effect::stale:
            return dispatch::attempt_end::refused_busy;
        case chunk_effect::truncated:
            return dispatch::attempt_end::upstream_died;
        case chunk_effect::none:
        case chunk_effect::first:
        case chunk_effect::unknown:
        case chunk_effect::broken:
            break;
    }
    return dispatch::attempt_end::unknown;
}

/// Passes the backoff for which an agent refused an attempt to the broker.
void note_backoff(entry_state& state, const request_pointer& request, const wire::ReplyChunk& chunk,
                  time_point now)
{
    if (chunk.reason() == ledger::to_string(ledger::refusal::backing_off)) {
        constexpr std::uint64_t max_ms =
            std::chrono::duration_cast<std::chrono::milliseconds>(http::max_retry_after).count();
        const auto until =
            now + std::chrono::milliseconds(std::min(chunk.retry_after_ms(), max_ms));
        const auto& known = request->known();
        state.m_pools.note_backoff(known.m_pool, known.m_ticket, until, now);
    }
}

void on_chunk(entry_state& state, const wire::ReplyChunk& chunk, time_point now)
{
    const auto id = link::from_wire(chunk.attempt());
    const auto request = state.m_requests.find(id);
    if (!request) {
        return;
    }
    const auto effect = request->handle(chunk, now);
    switch (effect) {
        case chunk_effect::none:
            return;
        case chunk_effect::first:
            state.m_pools.first_token(request->known().m_pool, request->known().m_ticket, now);
            return;
        case chunk_effect::stale:
            resubmit(state, request, id, now);
            return;
        case chunk_effect::broken:
            cancel_attempt(state, request);
            break;
        case chunk_effect::busy:
            note_backoff(state, request, chunk, now);
            break;
        case chunk_effect::completed:
        case chunk_effect::not_run:
        case chunk_effect::unknown:
        case chunk_effect::truncated:
            break;
    }
    auto end = to_end(effect);
    if (end == dispatch::attempt_end::unknown && chunk.reason() == "upstream_died") {
        end = dispatch::attempt_end::upstream_died;
    }
    else if (end == dispatch::attempt_end::unknown && chunk.reason() == ledger::entry_lost) {
        end = dispatch::attempt_end::lost;
    }
    const std::string_view stated = chunk.reason();
    const auto reason = effect == chunk_effect::truncated ? std::string_view("stream_cut") : stated;
    end_attempt(state, request, id, end, reason, now);
}

void on_unresponsive_upstream(entry_state& state, const wire::Silence& message, time_point now)
{
    if (const auto request = state.m_requests.find(link::from_wire(message.attempt()))) {
        const auto& known = request->known();
        perform(state, state.m_pools.note_unresponsive_upstream(known.m_pool, known.m_ticket, now),
                now);
    }
}

void on_tombstone_reply(entry_state& state, const wire::TombstoneReply& reply, time_point now)
{
    const auto id = link::from_wire(reply.attempt());
    const auto request = state.m_requests.find(id);
    if (!request) {
        return;
    }
    const auto effect = request->handle(reply);
    if (effect != chunk_effect::none) {
        end_attempt(state, request, id, to_end(effect), "tombstone_answered", now);
    }
}

void on_suspicion(entry_state& state, const wire::Suspicion& message, time_point now)
{
    const auto record = from_wire(message, now, program::wall_now());
    perform(state, state.m_pools.merge_suspicion(message.pool(), record, now), now);
}

void mark_upstreams_unreachable(entry_state& state, const std::string& address, time_point now)
{
    for (const auto& host : state.m_members.set_unreachable(address)) {
        log_event(log_level::info, "upstream_doubted",
                  {{"host", host.value()}, {"reason", "link_lost"}});
        // Requests load reports at once: a report shows that the agent can be reached again.
        state.m_next_interest = time_point{};
        update_pools(state, host, now);
    }
}

}  // namespace

void on_message(entry_state& state, const link::peer& from, wire::Envelope&& message)
{
    if (!state.m_is_started) {
        return;  // the sender will resend it
    }
    const auto now = program::now();
    if (state.m_membership->take(message, now)) {
        return;
    }
    if (message.has_reply_chunk()) {
        on_chunk(state, message.reply_chunk(), now);
    }
    else if (message.has_accepted()) {
        if (const auto request =
                state.m_requests.find(link::from_wire(message.accepted().attempt()))) {
            request->handle(message.accepted());
        }
    }
    else if (message.has_silence()) {
        on_unresponsive_upstream(state, message.silence(), now);
    }
    else if (message.has_tombstone_reply()) {
        on_tombstone_reply(state, message.tombstone_reply(), now);
    }
    else if (message.has_configuration_update()) {
        const bool is_of_control = is_from_control(state, from);
        if (is_of_control) {
            state.m_node->follow_log(log_id(message.log()));
        }
        state.m_configuration.adopt(message.configuration_update(), is_of_control);
        state.m_configuration.take_confirmation(message.configuration_update(), now);
    }
    else if (message.has_claim_reply()) {
        state.m_claims.take(*state.m_node, message.claim_reply(),
                            state.m_membership->reach(now).m_hears_quorum, now);
    }
    else if (message.has_claim_result_reply()) {
        state.m_claims.take(message.claim_result_reply());
    }
    else if (message.has_suspicion()) {
        on_suspicion(state, message.suspicion(), now);
    }
    else if (message.has_subscribe()) {
        send_configuration(state, from);
    }
}

void on_lost(entry_state& state, const std::vector<link::peer>& gone)
{
    const auto now = program::now();
    for (const auto& item : gone) {
        state.m_configuration.peer_lost(item.m_address);
        state.m_claims.peer_lost(*state.m_node, item.m_address);
        if (!item.m_address.empty()) {
            mark_upstreams_unreachable(state, item.m_address, now);
        }
    }
    // After all upstreams are marked: otherwise a request could be retried at the next lost agent.
    for (const auto& item : gone) {
        if (!item.m_address.empty()) {
            end_attempts_at(state, item.m_address, link_lost, now);
        }
    }
}

}  // namespace dewbeam::entry
