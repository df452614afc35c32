#include "dewbeam/src/gateway/gateway_request.h"

#include <absl/strings/str_format.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace dewbeam::gateway {

namespace {

constexpr int first_success = 200;
constexpr int first_redirect = 300;
constexpr int first_upstream_error = 500;

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

/// Whether the status tells callers that the request was not run.
bool claims_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

}  // namespace

http::response to_response(const gateway_error& fault, std::string_view request_id)
{
    auto result = http::json_response(
        fault.m_status,
        write_json({{"error", {{"code", fault.m_code}, {"message", fault.m_message}}}}));
    if (fault.m_retry_after > time_span::zero()) {
        const double seconds = std::chrono::duration<double>(fault.m_retry_after).count();
        result.m_fields.push_back({"Retry-After", absl::StrFormat("%.3f", seconds)});
    }
    if (!request_id.empty()) {
        result.m_fields.push_back({"X-Request-Id", std::string(request_id)});
    }
    return result;
}

gateway_request::gateway_request(facts known, std::shared_ptr<http::exchange> answer,
                                 answer_limits& limits)
    : m_facts(std::move(known)),
      m_answer(std::move(answer)),
      m_limits(limits),
      m_budget_share(limits.m_budget)
{
}

std::optional<attempt_start> gateway_request::begin(const upstream_id& upstream,
                                                    incarnation target_incarnation,
                                                    std::uint32_t order, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return std::nullopt;
    }
    ++m_attempts;
    m_has_attempt = true;
    m_upstream = upstream;
    m_upstream_incarnation = target_incarnation;
    m_order = order;
    m_last_sent = now;
    m_attempt_has_events = false;
    if (m_result.m_times.m_first_sent == time_point{}) {
        m_result.m_times.m_first_sent = now;
    }
    m_exchange.reset();
    m_head = {};
    m_writing_since.reset();
    m_fields.clear();
    m_silence_deadline = no_deadline;
    drop_received();
    attempt_start result;
    result.m_number = attempt_number(m_attempts);
    result.m_last_end = m_last_end;
    result.m_forwarding.m_upstream = upstream;
    result.m_forwarding.m_workspace = m_facts.m_workspace;
    result.m_forwarding.m_time_left = std::max(time_span::zero(), m_facts.m_deadline - now);
    result.m_forwarding.m_priority = m_facts.m_priority;
    result.m_forwarding.m_last_event = m_events.m_last_id;
    return result;
}

void gateway_request::attach(attempt_number attempt,
                             std::shared_ptr<http::client_exchange> exchange)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || !m_has_attempt || m_attempts != attempt.value()) {
        exchange->cancel();
        return;
    }
    m_exchange = std::move(exchange);
}

bool gateway_request::receive_head(attempt_number attempt, const wire_format& format,
                                   answer_head head, const http::fields& fields, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || !m_has_attempt || m_attempts != attempt.value()) {
        return true;  // the attempt was given up, and its end is handled there
    }
    // An answer that names another request belongs to that request. A success must name its own.
    const bool is_foreign = head.m_request_id != m_facts.m_call.m_request_id &&
                            (!head.m_request_id.empty() || is_success(head.m_status));
    if (is_foreign || (is_success(head.m_status) && !head.m_is_proven)) {
        return false;
    }
    m_head = std::move(head);
    m_frame = http::frame_of(m_head.m_status, fields);
    m_fields = format.m_to_caller(fields);
    if (is_success(m_head.m_status)) {
        m_writing_since = now;
    }
    if (is_success(m_head.m_status) && m_head.m_is_event_stream) {
        m_silence_deadline = now + m_limits.m_silence_limit;
    }
    if (is_success(m_head.m_status) && !m_head.m_is_event_stream &&
        m_result.m_times.m_first_byte == time_point{}) {
        m_result.m_times.m_first_byte = now;
    }
    return true;
}

data_result gateway_request::receive_data(attempt_number attempt, std::string bytes, time_point now)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || !m_has_attempt || m_attempts != attempt.value()) {
        return data_result::nothing;
    }
    const bool is_stream = is_success(m_head.m_status) && m_head.m_is_event_stream;
    if (!is_stream) {
        m_body += bytes;
        return update_budget() ? data_result::nothing : data_result::too_large;
    }
    const auto events_before = m_events.m_events;
    if (auto events = replies::split_events(m_events, bytes); !events.empty()) {
        deliver(std::move(events));
    }
    const bool has_events = m_events.m_events != events_before;
    const bool is_first = has_events && !std::exchange(m_attempt_has_events, true);
    if (has_events) {
        m_silence_deadline = now + m_limits.m_silence_limit;
        note_event(m_result.m_times, is_first, now);
    }
    if (replies::is_oversized(m_events, m_limits.m_most_event_bytes) || !update_budget()) {
        return data_result::too_large;
    }
    if (!has_events) {
        return data_result::nothing;  // an unfinished event, or only comments and line ends
    }
    return is_first ? data_result::first_event : data_result::next_event;
}

bool gateway_request::update_budget()
{
    const auto held_failure = m_failure ? m_failure->m_body.size() : 0;
    return m_budget_share.resize(m_body.size() + m_events.m_partial.size() + held_failure);
}

void gateway_request::drop_received()
{
    std::string().swap(m_body);
    replies::drop_partial(m_events);
    update_budget();
}

void gateway_request::deliver(std::string events)
{
    if (!m_is_streaming) {
        m_is_streaming = true;
        m_result.m_status = m_head.m_status;
        m_answer->start(m_head.m_status, m_fields);
    }
    m_answer->write(std::move(events));
}

void gateway_request::note_attempt_end(const char* reason)
{
    const std::lock_guard lock(m_mutex);
    m_last_end = reason;
}

std::optional<attempt_outcome> gateway_request::receive_end(attempt_number attempt,
                                                            const absl::Status& result,
                                                            http::progress how_far)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || !m_has_attempt || m_attempts != attempt.value()) {
        return std::nullopt;
    }
    drop_attempt();
    auto& answer = m_result.m_answer;
    answer.m_has_head = m_head.m_status != 0;
    answer.m_frame = m_frame;
    answer.m_connection = connection_end_of(result, how_far, m_frame);
    answer.m_is_stream = is_success(m_head.m_status) && m_head.m_is_event_stream;
    answer.m_unfinished_bytes = m_events.m_partial.size();
    auto outcome = judge_end(result, how_far);
    outcome.m_answer = answer;
    outcome.m_writing_since = m_writing_since;
    m_may_have_run = m_may_have_run || !retry::is_never_begun(outcome.m_end);
    return outcome;
}

attempt_outcome gateway_request::judge_end(const absl::Status& result, http::progress how_far)
{
    if (result.ok()) {
        return judge();
    }
    if (absl::IsFailedPrecondition(result)) {
        return {dispatch::attempt_end::not_reached, false, false, "withdrawn"};
    }
    if (how_far == http::progress::not_sent) {
        return {dispatch::attempt_end::not_reached, true, false, "unreachable"};
    }
    if (absl::IsResourceExhausted(result)) {
        return {dispatch::attempt_end::unknown, true, false, "too_large"};
    }
    if (absl::IsUnavailable(result)) {
        return {dispatch::attempt_end::upstream_died, true, false, "connection_broke"};
    }
    return {dispatch::attempt_end::unknown, true, false, "no_whole_answer"};
}

attempt_outcome gateway_request::judge()
{
    using dispatch::attempt_end;
    if (m_head.m_is_other_upstream) {
        return {attempt_end::not_run, false, true, "other_upstream"};
    }
    if (m_head.m_is_not_run) {
        const bool is_others =
            !m_head.m_fault_at.value().empty() && m_head.m_fault_at != m_upstream;
        return {attempt_end::not_run, false, false, is_others ? "group_refused" : "refused",
                is_others};
    }
    if (!is_success(m_head.m_status)) {
        return judge_failure();
    }
    if (m_head.m_is_event_stream) {
        if (const auto* reason = stream_truncation()) {
            return {attempt_end::upstream_died, true, false, reason};
        }
        finish_stream();
    }
    else if (m_is_streaming) {
        return {attempt_end::unknown, true, false, "not_a_stream"};
    }
    else {
        respond_complete();
    }
    return {attempt_end::completed, false, false, "completed"};
}

attempt_outcome gateway_request::judge_failure()
{
    using dispatch::attempt_end;
    const bool is_error =
        m_head.m_status >= first_upstream_error || claims_not_run(m_head.m_status);
    if (m_is_streaming) {
        return {attempt_end::unknown, is_error, false, "upstream_error"};
    }
    if (!is_error ||
        (!routes::is_idempotent(*m_facts.m_route) && !claims_not_run(m_head.m_status))) {
        respond_complete();
        return {attempt_end::completed, is_error, false, "upstream_error"};
    }
    // Only an idempotent request is retried. If no retry is possible, the caller gets this answer,
    // unless its status says that the request was not run, which the upstream didn't state.
    if (!claims_not_run(m_head.m_status)) {
        m_failure = stored_failure{m_head.m_status, m_fields, std::move(m_body)};
    }
    return {attempt_end::unknown, true, false, "upstream_error"};
}

const char* gateway_request::stream_truncation() const
{
    if (replies::is_inside_event(m_events)) {
        return "cut_inside_event";
    }
    // With explicit framing a stream without any event is complete. If only the end of the
    // connection marks the end of the body, it counts as broken.
    const bool is_empty = m_frame == http::body_frame::close && !m_attempt_has_events;
    return is_empty ? "closed_before_event" : nullptr;
}

void gateway_request::finish_stream()
{
    if (!m_is_streaming) {
        // The stream is complete and has no event.
        m_result.m_status = m_head.m_status;
        m_answer->start(m_head.m_status, m_fields);
    }
    if (!m_events.m_partial.empty()) {
        m_answer->write(std::exchange(m_events.m_partial, {}));
    }
    m_is_over = true;
    m_answer->finish();
}

void gateway_request::respond_complete()
{
    m_is_over = true;
    m_result.m_status = m_head.m_status;
    m_answer->respond({m_head.m_status, std::move(m_fields), std::move(m_body)});
}

void gateway_request::drop_attempt()
{
    m_has_attempt = false;
    m_exchange.reset();
}

std::optional<time_point> gateway_request::writing_since(attempt_number attempt) const
{
    const std::lock_guard lock(m_mutex);
    const bool is_current = m_has_attempt && m_attempts == attempt.value();
    return is_current ? m_writing_since : std::nullopt;
}

bool gateway_request::note_good_run(attempt_number attempt)
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_good_attempt, attempt.value()) != attempt.value();
}

bool gateway_request::abandon(attempt_number attempt)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || !m_has_attempt || m_attempts != attempt.value()) {
        return false;
    }
    if (m_exchange) {
        m_exchange->cancel();
    }
    drop_attempt();
    drop_received();
    m_may_have_run = true;
    return true;
}

std::optional<attempt_number> gateway_request::silent_attempt(time_point now) const
{
    const std::lock_guard lock(m_mutex);
    const bool is_silent = !m_is_over && m_has_attempt && m_silence_deadline <= now;
    return is_silent ? std::optional(attempt_number(m_attempts)) : std::nullopt;
}

std::optional<attempt_number> gateway_request::attempt() const
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || !m_has_attempt) {
        return std::nullopt;
    }
    return attempt_number(m_attempts);
}

bool gateway_request::note_lateness()
{
    const std::lock_guard lock(m_mutex);
    return std::exchange(m_late_attempt, m_attempts) != m_attempts;
}

std::optional<sent_attempt> gateway_request::unanswered_attempt() const
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over || !m_has_attempt || m_head.m_status != 0) {
        return std::nullopt;
    }
    return last_sent();
}

sent_attempt gateway_request::last_attempt() const
{
    const std::lock_guard lock(m_mutex);
    return last_sent();
}

sent_attempt gateway_request::last_sent() const
{
    return {m_upstream, m_upstream_incarnation, attempt_number(m_attempts), m_last_sent, m_order};
}

bool gateway_request::was_answered() const
{
    const std::lock_guard lock(m_mutex);
    return m_head.m_status != 0;
}

upstream_id gateway_request::upstream() const
{
    const std::lock_guard lock(m_mutex);
    return m_has_attempt ? m_upstream : upstream_id();
}

void gateway_request::fail(const gateway_error& fault)
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return;
    }
    m_is_over = true;
    if (m_exchange) {
        m_exchange->cancel();
    }
    drop_attempt();
    m_result.m_code = fault.m_code;
    if (m_is_streaming) {
        m_result.m_is_cut = true;
        m_answer->abort();
        return;
    }
    if (m_failure) {
        m_result.m_status = m_failure->m_status;
        m_answer->respond(
            {m_failure->m_status, std::move(m_failure->m_fields), std::move(m_failure->m_body)});
        return;
    }
    m_result.m_status = fault.m_status;
    m_answer->respond(to_response(fault, m_facts.m_request_id));
}

bool gateway_request::mark_disconnected()
{
    const std::lock_guard lock(m_mutex);
    if (m_is_over) {
        return false;
    }
    m_is_over = true;
    m_result.m_is_caller_disconnected = true;
    m_result.m_is_cut = m_is_streaming;
    if (m_exchange) {
        m_exchange->cancel();
    }
    drop_attempt();
    return true;
}

bool gateway_request::is_over() const
{
    const std::lock_guard lock(m_mutex);
    return m_is_over;
}

bool gateway_request::may_have_run() const
{
    const std::lock_guard lock(m_mutex);
    return m_may_have_run || m_has_attempt;
}

request_end gateway_request::result() const
{
    const std::lock_guard lock(m_mutex);
    auto result = m_result;
    result.m_times.m_attempts = m_attempts;
    result.m_times.m_arrival = m_facts.m_arrival;
    result.m_late = lateness_of(result.m_times, m_last_sent, *m_facts.m_route);
    return result;
}

}  // namespace dewbeam::gateway
