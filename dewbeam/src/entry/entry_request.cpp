#include "dewbeam/src/entry/entry_request.h"

#include <utility>

#include "dewbeam/link"
#include "dewbeam/turns"

namespace dewbeam::entry {

namespace {

constexpr std::string_view resume_field = "X-Resume-Offset";
constexpr std::chrono::milliseconds acknowledgement_timeout{1000};
constexpr std::chrono::milliseconds tombstone_timeout{1000};
/// A link preserves the order of messages, so a chunk that is missing for this long was lost.
constexpr std::chrono::milliseconds chunk_gap_timeout{1000};
/// Maximum size of a non-streamed answer, which is buffered until it is complete.
constexpr std::size_t most_answer_bytes = 16UL * 1024 * 1024;
/// Maximum number of bytes of a stream without a complete event.
constexpr std::size_t most_event_bytes = 256UL * 1024;

/// Header fields that are meant for dewbeam itself and are not forwarded to upstreams.
bool is_dewbeam_field(const std::string& name)
{
    for (const auto* own : {"Authorization", "X-Dewbeam-Workspace", "X-Dewbeam-Labels",
                            resume_field.data(), "X-Priority"}) {
        if (http::is_same_name(name, own)) {
            return true;
        }
    }
    return false;
}

chunk_effect to_effect(ledger::outcome outcome, const std::string& reason)
{
    if (outcome != ledger::outcome::not_run) {
        return chunk_effect::unknown;
    }
    if (reason == ledger::to_string(ledger::refusal::stale_configuration)) {
        return chunk_effect::stale;
    }
    const bool is_busy = reason == ledger::to_string(ledger::refusal::full) ||
                         reason == ledger::to_string(ledger::refusal::runs_alone) ||
                         reason == ledger::to_string(ledger::refusal::backing_off) ||
                         reason == ledger::to_string(ledger::refusal::thawing);
    return is_busy ? chunk_effect::busy : chunk_effect::not_run;
}

replies::reply_chunk to_reply_chunk(const wire::ReplyChunk& source)
{
    replies::reply_chunk chunk;
    chunk.m_attempt = link::from_wire(source.attempt());
    chunk.m_number = replies::chunk_number(source.sequence());
    chunk.m_status = source.status();
    for (const auto& item : source.headers()) {
        chunk.m_headers.push_back({item.name(), item.value()});
    }
    chunk.m_data = source.data();
    chunk.m_last = source.last();
    chunk.m_outcome = link::from_wire(source.outcome());
    return chunk;
}

}  // namespace

entry_request::entry_request(facts known, std::shared_ptr<http::exchange> answer,
                             std::shared_ptr<replies::answer_budget> budget)
    : m_facts(std::move(known)),
      m_answer(std::move(answer)),
      m_budget_share(std::move(budget)),
      m_is_claim_granted(m_facts.m_is_claim_granted),
      m_may_have_run(m_facts.m_may_have_run)
{
}

std::optional<wire::Dispatch> entry_request::assign_attempt(const dispatch::action& action,
                                                            owned_attempt attempt,
                                                            configuration_version newest,
                                                            time_point now)
{
    const std::lock_guard lock(m_mutex);
    const bool cannot_resume_stream =
        m_is_streaming && !replies::can_continue(m_stream, replies::continuation::resume);
    if (m_is_over || cannot_resume_stream) {
        return std::nullopt;
    }
    m_attempt = std::move(attempt);
    m_attempt.m_ack_deadline = now + acknowledgement_timeout;
    drop_received();
    if (!m_is_streaming) {
        // Nothing was delivered to the caller yet: the answer is assembled from scratch.
        m_stream = {};
        m_stream.m_options.m_max_kept = {0};
        m_status = 0;
    }
    replies::start_attempt(
        m_stream, m_attempt.m_id,
        m_is_streaming ? replies::continuation::resume : replies::continuation::none);
    wire::Dispatch message;
    link::to_wire(m_attempt.m_id, *message.mutable_attempt());
    message.set_agent_incarnation(action.m_incarnation.value());
    // A partly delivered stream keeps its classification. Its resumed attempt states the newest
    // configuration, so that agents don't refuse it as stale.
    link::to_wire(m_is_streaming ? newest : m_facts.m_configuration,
                  *message.mutable_configuration());
    message.set_urgent(m_facts.m_urgent);
    message.set_idempotent(m_facts.m_idempotent);
    message.set_remaining_us(link::remaining_us(m_facts.m_deadline, now));
    message.set_method(m_facts.m_request.m_method);
    message.set_target(m_facts.m_request.m_target);
    http::fields fields;
    for (const auto& item : m_facts.m_request.m_fields) {
        if (!is_dewbeam_field(item.m_name)) {
            fields.push_back(item);
        }
    }
    fields.push_back({"X-Request-Id", m_facts.m_request_id});
    if (m_events.m_events > 0) {
        fields.push_back({std::string(resume_field), std::to_string(m_events.m_events)});
    }
    link::to_wire(fields, *message.mutable_headers());
    message.set_body(m_facts.m_request.m_body);
    message.set_prompt_tokens(static_cast<std::uint32_t>(m_facts.m_call.m_prompt_tokens.m_count));
    message.set_output_tokens(static_cast<std::uint32_t>(m_facts.m_call.m_output_tokens.m_count));
    message.set_alone(action.m_alone);
    message.set_workspace(m_facts.m_workspace);
    message.set_upstream(action.m_upstream.value());
    message.set_fingerprint(m_facts.m_call.m_content.value());
    return message;
}

chunk_effect entry_request::handle(const wire::ReplyChunk& chunk, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || link::from_wire(chunk.attempt()) != m_attempt.m_id) {
        return chunk_effect::none;
    }
    m_attempt.m_is_acknowledged = true;
    if (!resumes_at_sent_offset(chunk)) {
        return chunk_effect::broken;
    }
    auto out = replies::accept(m_stream, to_reply_chunk(chunk));
    const bool has_gap = !m_stream.m_held.empty();
    if (!has_gap) {
        m_attempt.m_gap_deadline = no_deadline;
    }
    else if (m_attempt.m_gap_deadline == no_deadline) {
        m_attempt.m_gap_deadline = now + chunk_gap_timeout;
    }
    const bool is_end = out.m_finished || out.m_error == replies::reply_error::attempt_ended;
    const bool is_broken = out.m_error != replies::reply_error::none && !is_end;
    if (is_broken) {
        return chunk_effect::broken;
    }
    const auto end = out;
    const auto effect = handle_delivery(std::move(out), now);
    if (effect == chunk_effect::broken) {
        return effect;
    }
    return is_end ? handle_attempt_end(end, chunk.reason()) : effect;
}

chunk_effect entry_request::handle_delivery(replies::delivery&& out, time_point now)
{
    if (out.m_starts_response) {
        m_status = static_cast<int>(out.m_status);
        m_head.clear();
        for (auto& item : out.m_headers) {
            m_head.push_back({std::move(item.m_name), std::move(item.m_value)});
        }
        begin_answer();
    }
    if (!out.m_bytes.empty() && m_result.m_first_byte == time_point{}) {
        m_result.m_first_byte = now;
    }
    if (m_is_streaming) {
        deliver_events(out.m_bytes);
    }
    else {
        m_body += out.m_bytes;
    }
    const bool is_too_large =
        m_body.size() > most_answer_bytes || replies::is_oversized(m_events, most_event_bytes);
    if (is_too_large || !update_budget()) {
        drop_received();
        return chunk_effect::broken;
    }
    return out.m_starts_response ? chunk_effect::first : chunk_effect::none;
}

/// Frees what no caller will get.
void entry_request::drop_received()
{
    std::string().swap(m_body);
    replies::drop_partial(m_events);
    update_budget();
}

bool entry_request::update_budget()
{
    return m_budget_share.resize(m_body.size() + m_events.m_partial.size());
}

bool entry_request::resumes_at_sent_offset(const wire::ReplyChunk& chunk) const
{
    // An engine that does not confirm the resume offset would repeat events that the caller already
    // has.
    return m_events.m_events == 0 || chunk.status() == 0 ||
           http::find_field(link::from_wire(chunk.headers()), resume_field) ==
               std::to_string(m_events.m_events);
}

bool entry_request::streams() const
{
    return m_facts.m_call.m_is_stream && m_status == 200 && has_event_stream();
}

bool entry_request::has_event_stream() const
{
    return http::find_field(m_head, "Content-Type").starts_with("text/event-stream");
}

void entry_request::begin_answer()
{
    if (!streams()) {
        return;
    }
    m_is_streaming = true;
    m_result.m_status = m_status;
    m_answer->start(m_status, answer_fields());
}

void entry_request::deliver_events(std::string_view bytes)
{
    // Delivers complete events only, so that another upstream can resume after the last one.
    auto events = replies::split_events(m_events, bytes);
    if (!events.empty()) {
        m_answer->write(std::move(events));
    }
}

http::fields entry_request::answer_fields() const
{
    auto fields = m_head;
    std::erase_if(fields, [](const http::field& item) {
        return http::is_same_name(item.m_name, "X-Request-Id") ||
               http::is_same_name(item.m_name, resume_field);
    });
    fields.push_back({"X-Request-Id", m_facts.m_request_id});
    return fields;
}

chunk_effect entry_request::handle_attempt_end(const replies::delivery& out,
                                               const std::string& reason)
{
    const bool is_whole_stream = m_is_streaming && m_events.m_has_ended;
    if (!out.m_finished && !is_whole_stream) {
        return to_effect(out.m_outcome, reason);
    }
    if (m_status == 0) {
        return chunk_effect::unknown;
    }
    if (is_answer_truncated()) {
        replies::reopen(m_stream);
        return chunk_effect::truncated;
    }
    finish();
    return chunk_effect::completed;
}

bool entry_request::is_answer_truncated() const
{
    if (m_is_streaming) {
        return !m_events.m_has_ended;
    }
    if (!has_event_stream()) {
        return false;
    }
    replies::event_splitter events;
    replies::split_events(events, m_body);
    return replies::is_inside_event(events);
}

void entry_request::finish()
{
    m_is_over = true;
    m_result.m_outcome = ledger::outcome::completed;
    if (m_is_streaming) {
        if (!m_events.m_partial.empty() && !replies::is_inside_event(m_events)) {
            m_answer->write(std::exchange(m_events.m_partial, {}));
        }
        m_answer->finish();
        return;
    }
    m_result.m_status = m_status;
    if (m_facts.m_claim) {
        store_answer();
    }
    m_answer->respond({m_status, answer_fields(), std::move(m_body)});
}

void entry_request::store_answer()
{
    if (static_cast<std::int64_t>(m_body.size()) > claims::most_answer_bytes.m_count) {
        return;
    }
    auto& kept = m_result.m_answer.emplace();
    kept.m_status = static_cast<std::uint32_t>(m_status);
    kept.m_body = m_body;
    for (const auto& item : m_head) {
        kept.m_headers.push_back({item.m_name, item.m_value});
    }
}

void entry_request::handle(const wire::Accepted& message)
{
    const std::lock_guard lock(m_mutex);
    if (link::from_wire(message.attempt()) == m_attempt.m_id) {
        m_attempt.m_is_acknowledged = true;
    }
}

chunk_effect entry_request::handle(const wire::TombstoneReply& reply)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || link::from_wire(reply.attempt()) != m_attempt.m_id) {
        return chunk_effect::none;
    }
    const auto effect = to_effect(link::from_wire(reply.outcome()), {});
    // The agent has accepted the attempt in the meantime: "unknown" then means that it is still
    // running.
    const bool is_under_way = m_attempt.m_is_acknowledged && effect == chunk_effect::unknown;
    return is_under_way ? chunk_effect::none : effect;
}

owned_attempt entry_request::attempt() const
{
    const std::lock_guard lock(m_mutex);
    return m_attempt;
}

bool entry_request::release(const attempt_id& id, bool is_not_run)
{
    const std::lock_guard lock(m_mutex);
    if (m_attempt.m_id != id) {
        return false;
    }
    m_attempt = {};
    m_may_have_run = m_may_have_run || !is_not_run;
    replies::drop_attempt(m_stream);
    drop_received();
    return true;
}

bool entry_request::release_unless_over(const attempt_id& id)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || m_attempt.m_id != id) {
        return false;
    }
    m_attempt = {};
    m_may_have_run = true;
    replies::drop_attempt(m_stream);
    drop_received();
    return true;
}

bool entry_request::begin_tombstone(time_point now)
{
    const std::lock_guard lock(m_mutex);
    const bool is_late = !m_is_over && !m_attempt.m_is_acknowledged &&
                         m_attempt.m_id.m_sequence != 0 && m_attempt.m_ack_deadline <= now;
    if (is_late) {
        m_attempt.m_ack_deadline = no_deadline;
        m_attempt.m_tombstone_deadline = now + tombstone_timeout;
    }
    return is_late;
}

bool entry_request::is_tombstone_late(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return !m_is_over && m_attempt.m_tombstone_deadline <= now && !m_attempt.m_is_acknowledged;
}

bool entry_request::is_gap_expired(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return !m_is_over && m_attempt.m_gap_deadline <= now;
}

void entry_request::extend_attempt_deadlines(time_span held_up, time_point now)
{
    const std::lock_guard lock(m_mutex);
    auto& own = m_attempt;
    own.m_ack_deadline = put_off(own.m_ack_deadline, held_up, now + acknowledgement_timeout);
    own.m_tombstone_deadline = put_off(own.m_tombstone_deadline, held_up, now + tombstone_timeout);
    own.m_gap_deadline = put_off(own.m_gap_deadline, held_up, now + chunk_gap_timeout);
}

void entry_request::fail(const caller::error& fault)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return;
    }
    m_is_over = true;
    m_result.m_code = fault.m_code;
    record_run_outcome(fault.m_outcome == caller::run_outcome::unknown ? ledger::outcome::unknown
                                                                       : ledger::outcome::not_run);
    if (!m_is_streaming) {
        m_result.m_status = fault.m_status;
        m_answer->respond(caller::to_response(fault, m_facts.m_request_id));
        return;
    }
    // The caller has part of the answer: send an error event and abort the connection, so that the
    // answer never looks complete.
    m_answer->write(caller::to_event(fault));
    m_answer->abort();
}

bool entry_request::supersede()
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || m_is_streaming) {
        return false;
    }
    m_is_over = true;
    return true;
}

bool entry_request::set_caller_disconnected()
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return false;
    }
    m_is_over = true;
    m_result.m_is_caller_disconnected = true;
    record_run_outcome(ledger::outcome::not_run);
    return true;
}

void entry_request::record_run_outcome(ledger::outcome known)
{
    const bool is_under_way = m_attempt.m_id.m_sequence != 0;
    const bool is_doubtful = known == ledger::outcome::not_run && (m_may_have_run || is_under_way);
    m_result.m_outcome = is_doubtful ? ledger::outcome::unknown : known;
}

void entry_request::respond(http::response whole, ledger::outcome outcome)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return;
    }
    m_is_over = true;
    m_result.m_status = whole.m_status;
    m_result.m_outcome = outcome;
    whole.m_fields.push_back({"X-Request-Id", m_facts.m_request_id});
    m_answer->respond(std::move(whole));
}

bool entry_request::may_have_run() const
{
    const std::lock_guard lock(m_mutex);
    return m_may_have_run || m_attempt.m_id.m_sequence != 0;
}

bool entry_request::is_over() const
{
    const std::lock_guard lock(m_mutex);
    return m_is_over;
}

request_result entry_request::result() const
{
    const std::lock_guard lock(m_mutex);
    return m_result;
}

}  // namespace dewbeam::entry
