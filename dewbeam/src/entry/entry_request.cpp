#include "dewbeam/src/entry/entry_request.h"

#include <utility>

#include "dewbeam/link"

namespace dewbeam::entry {

namespace {

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view stream_end = "data: [DONE]\n\n";
constexpr std::string_view resume_field = "X-Resume-Offset";
constexpr std::chrono::milliseconds acknowledgement_limit{1000};
constexpr std::chrono::milliseconds tombstone_limit{1000};
/// Largest whole answer that is kept until it is complete.
constexpr std::size_t most_answer_bytes = 16UL * 1024 * 1024;

/// Fields by which callers talk to dewbeam itself.
bool is_own_field(const std::string& name)
{
    for (const auto* own : {"Authorization", "X-Dewbeam-Workspace", "X-Dewbeam-Labels",
                            resume_field.data(), "X-Priority"}) {
        if (http::is_same_name(name, own)) {
            return true;
        }
    }
    return false;
}

chunk_effect to_effect(wire::Outcome outcome, const std::string& reason)
{
    if (outcome == wire::OUTCOME_NOT_RUN) {
        return reason == "stale_configuration" ? chunk_effect::stale : chunk_effect::not_run;
    }
    return chunk_effect::unknown;
}

}  // namespace

entry_request::entry_request(facts known, std::shared_ptr<http::exchange> answer)
    : m_facts(std::move(known)), m_answer(std::move(answer))
{
}

std::optional<wire::Dispatch> entry_request::own(const dispatch::action& action,
                                                 owned_attempt attempt, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return std::nullopt;
    }
    m_attempt = std::move(attempt);
    m_attempt.m_ack_deadline = now + acknowledgement_limit;
    wire::Dispatch message;
    link::to_wire(m_attempt.m_id, *message.mutable_attempt());
    message.set_agent_incarnation(action.m_incarnation.value());
    link::to_wire(m_facts.m_configuration, *message.mutable_configuration());
    message.set_urgent(m_facts.m_urgent);
    message.set_idempotent(m_facts.m_idempotent);
    message.set_remaining_us(link::remaining_us(m_facts.m_deadline, now));
    message.set_method(m_facts.m_request.m_method);
    message.set_target(m_facts.m_request.m_target);
    http::fields fields;
    for (const auto& item : m_facts.m_request.m_fields) {
        if (!is_own_field(item.m_name)) {
            fields.push_back(item);
        }
    }
    fields.push_back({"X-Request-Id", m_facts.m_request_id});
    if (m_delivered_events > 0) {
        fields.push_back({std::string(resume_field), std::to_string(m_delivered_events)});
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

chunk_effect entry_request::take(const wire::ReplyChunk& chunk, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || link::from_wire(chunk.attempt()) != m_attempt.m_id) {
        return chunk_effect::none;
    }
    const bool is_refusal = chunk.last() && chunk.outcome() == wire::OUTCOME_NOT_RUN;
    if (!is_refusal && chunk.sequence() < m_attempt.m_next_chunk) {
        return chunk_effect::none;
    }
    if (!is_refusal && chunk.sequence() > m_attempt.m_next_chunk) {
        return chunk_effect::broken;
    }
    ++m_attempt.m_next_chunk;
    m_attempt.m_is_acknowledged = true;
    const bool had_head = m_attempt.m_status != 0;
    if (chunk.status() != 0) {
        take_head(chunk);
        if (!resumes_here()) {
            return chunk_effect::broken;
        }
    }
    if (!chunk.data().empty()) {
        take_data(chunk.data(), now);
    }
    if (m_attempt.m_body.size() > most_answer_bytes) {
        return chunk_effect::broken;
    }
    if (chunk.last()) {
        return take_end(chunk);
    }
    return !had_head && m_attempt.m_status != 0 ? chunk_effect::first : chunk_effect::none;
}

void entry_request::take_head(const wire::ReplyChunk& chunk)
{
    m_attempt.m_status = static_cast<int>(chunk.status());
    m_attempt.m_head = link::from_wire(chunk.headers());
}

bool entry_request::resumes_here() const
{
    // An engine that does not say where it resumes would repeat what the caller has already.
    return m_delivered_events == 0 ||
           http::find_field(m_attempt.m_head, resume_field) == std::to_string(m_delivered_events);
}

bool entry_request::streams() const
{
    const auto type = http::find_field(m_attempt.m_head, "Content-Type");
    return m_facts.m_call.m_is_stream && m_attempt.m_status == 200 &&
           type.starts_with("text/event-stream");
}

void entry_request::take_data(const std::string& data, time_point now)
{
    if (m_result.m_first_byte == time_point{}) {
        m_result.m_first_byte = now;
    }
    if (streams()) {
        deliver_events(data);
    }
    else {
        m_attempt.m_body += data;
    }
}

void entry_request::deliver_events(const std::string& data)
{
    auto& partial = m_attempt.m_partial_event;
    partial += data;
    if (!m_is_streaming) {
        m_is_streaming = true;
        m_result.m_status = m_attempt.m_status;
        m_answer->start(m_attempt.m_status, answer_fields());
    }
    // Whole events only, so that another upstream can go on behind the last one.
    const auto last = partial.rfind(event_end);
    if (last == std::string::npos) {
        return;
    }
    const auto end = last + event_end.size();
    for (auto place = partial.find(event_end); place < end && place != std::string::npos;
         place = partial.find(event_end, place + event_end.size())) {
        ++m_delivered_events;
    }
    auto events = partial.substr(0, end);
    partial.erase(0, end);
    m_has_stream_end = events.ends_with(stream_end);
    m_answer->write(std::move(events));
}

http::fields entry_request::answer_fields() const
{
    auto fields = m_attempt.m_head;
    std::erase_if(fields, [](const http::field& item) {
        return http::is_same_name(item.m_name, "X-Request-Id") ||
               http::is_same_name(item.m_name, resume_field);
    });
    fields.push_back({"X-Request-Id", m_facts.m_request_id});
    return fields;
}

chunk_effect entry_request::take_end(const wire::ReplyChunk& chunk)
{
    const bool is_whole_stream = m_is_streaming && m_has_stream_end;
    if (chunk.outcome() != wire::OUTCOME_COMPLETED && !is_whole_stream) {
        return to_effect(chunk.outcome(), chunk.reason());
    }
    const bool is_cut = m_attempt.m_status == 0 || (m_is_streaming && !m_has_stream_end);
    if (is_cut) {
        return chunk_effect::unknown;
    }
    finish();
    return chunk_effect::completed;
}

void entry_request::finish()
{
    m_is_over = true;
    if (m_is_streaming) {
        m_answer->finish();
        return;
    }
    m_result.m_status = m_attempt.m_status;
    m_answer->respond({m_attempt.m_status, answer_fields(), std::move(m_attempt.m_body)});
}

chunk_effect entry_request::take(const wire::TombstoneReply& reply)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || link::from_wire(reply.attempt()) != m_attempt.m_id) {
        return chunk_effect::none;
    }
    return to_effect(reply.outcome(), {});
}

owned_attempt entry_request::attempt() const
{
    const std::lock_guard lock(m_mutex);
    return m_attempt;
}

bool entry_request::release(const attempt_id& id)
{
    const std::lock_guard lock(m_mutex);
    if (m_attempt.m_id != id) {
        return false;
    }
    m_attempt = {};
    return true;
}

bool entry_request::begin_tombstone(time_point now)
{
    const std::lock_guard lock(m_mutex);
    const bool is_late = !m_is_over && !m_attempt.m_is_acknowledged &&
                         m_attempt.m_id.m_sequence != 0 && m_attempt.m_ack_deadline <= now;
    if (is_late) {
        m_attempt.m_ack_deadline = no_deadline;
        m_attempt.m_tombstone_deadline = now + tombstone_limit;
    }
    return is_late;
}

bool entry_request::is_tombstone_late(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    return !m_is_over && m_attempt.m_tombstone_deadline <= now && !m_attempt.m_is_acknowledged;
}

void entry_request::fail(const caller::error& fault)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return;
    }
    m_is_over = true;
    m_result.m_code = fault.m_code;
    if (!m_is_streaming) {
        m_result.m_status = fault.m_status;
        m_answer->respond(caller::to_response(fault, m_facts.m_request_id));
        return;
    }
    // The caller has part of the answer: say that it is broken, and never end it cleanly.
    m_answer->write(caller::to_event(fault));
    m_answer->abort();
}

bool entry_request::set_gone()
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return false;
    }
    m_is_over = true;
    m_result.m_is_caller_gone = true;
    return true;
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
