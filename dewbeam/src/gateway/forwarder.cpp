#include "dewbeam/src/gateway/forwarder.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "dewbeam/src/gateway/crash_blame.h"
#include "dewbeam/src/gateway/part_blame.h"
#include "dewbeam/src/gateway/upstream_notices.h"

namespace dewbeam::gateway {

namespace {

/// Upper bound of Retry-After as a share of the caller's remaining time: most callers don't wait
/// for longer than a third of it.
constexpr double retry_after_share = 0.32;
constexpr time_span min_retry_after = std::chrono::milliseconds(100);
/// An attempt counts as late if attempts that started later by this multiple of the latency
/// objective have already been answered. A plain call that hangs can be retried within its
/// objective or soon after. A stream also waits for a slot at its rank, which is no fault of the
/// rank; its caller disconnects after five objectives without an event.
constexpr double overtaken_share = 0.75;
constexpr double overtaken_share_of_stream = 2.5;
/// Attempts by a configuration that was last confirmed longer ago are logged.
constexpr time_span reported_confirmation_age = std::chrono::seconds(1);

std::int64_t milliseconds(time_span value)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

const char* outcome_of(const request_end& end)
{
    if (end.m_is_caller_disconnected) {
        return "caller_gone";
    }
    if (end.m_is_cut) {
        return "cut";
    }
    if (*end.m_code != '\0') {
        return end.m_code;
    }
    constexpr int first_failure = 400;
    return end.m_status < first_failure ? "answered" : "upstream_failure";
}

time_span longest_pause(const answer_times& times)
{
    return std::max(times.m_longest_pause, times.m_max_break);
}

/// Removes a finished request from the requests in flight and records its outcome.
void finish(gateway_state& state, const request_pointer& request, time_point now)
{
    if (!state.m_requests.remove(request)) {
        return;
    }
    const auto& known = request->known();
    const auto end = request->result();
    const auto* outcome = outcome_of(end);
    state.m_metrics.request_ended(outcome, now - known.m_arrival);
    if (end.m_late != late_reason::none) {
        state.m_metrics.answered_late(to_string(end.m_late));
    }
    const bool is_sent = end.m_times.m_first_sent != time_point{};
    const bool has_first_byte = end.m_times.m_first_byte != time_point{};
    if (has_first_byte) {
        state.m_metrics.first_byte(end.m_times.m_first_byte - known.m_arrival);
    }
    log_event(
        log_level::info, "request_ended",
        {{"request", known.m_request_id},
         {"route", known.m_route->m_name},
         {"priority", known.m_priority},
         {"revision", known.m_book->m_revision.value()},
         {"outcome", outcome},
         {"status", end.m_status},
         {"attempts", end.m_times.m_attempts},
         {"late", to_string(end.m_late)},
         {"frame", frame_name(end.m_answer)},
         {"connection", to_string(end.m_answer.m_connection)},
         {"place", place_name(end.m_answer)},
         {"unfinished_bytes", end.m_answer.m_unfinished_bytes},
         {"closed_by_notices", name_closed_by_notices(state, known.m_pool, now)},
         {"queued_ms", is_sent ? milliseconds(end.m_times.m_first_sent - known.m_arrival) : -1},
         {"longest_pause_ms", milliseconds(longest_pause(end.m_times))},
         {"first_byte_ms",
          has_first_byte ? milliseconds(end.m_times.m_first_byte - known.m_arrival) : -1},
         {"whole_ms", milliseconds(now - known.m_arrival)}});
}

gateway_error to_error(const gateway_request& request, const dispatch::action& refusal,
                       time_point now)
{
    gateway_error fault;
    fault.m_code = dispatch::to_string(refusal.m_refusal);
    fault.m_message = "no upstream could take the request in time";
    // 503 states that the request was not run, so it must not be used if an attempt may have run.
    fault.m_status = request.may_have_run() ? 502 : 503;
    if (request.may_have_run()) {
        fault.m_message = "an upstream failed while the request may have been running";
    }
    if (refusal.m_refusal == dispatch::refusal::quarantined) {
        fault.m_message = "upstreams ended while they ran copies of this request";
        fault.m_retry_after = refusal.m_retry_at - now;
        return fault;
    }
    if (refusal.m_refusal == dispatch::refusal::backing_off) {
        if (!request.may_have_run()) {
            fault.m_message = "all upstreams asked for a pause";
        }
        fault.m_retry_after = refusal.m_retry_at - now;
        return fault;
    }
    const auto left = std::max(time_span::zero(), request.known().m_deadline - now);
    const auto longest = std::chrono::duration_cast<time_span>(left * retry_after_share);
    // Upstreams that refuse or are unreachable recover after seconds, if at all. A caller that
    // retried immediately would spend its retry on the same failure.
    const bool is_outage = refusal.m_refusal == dispatch::refusal::retries_exhausted ||
                           refusal.m_refusal == dispatch::refusal::no_able_upstream;
    const auto wanted = is_outage ? longest : refusal.m_retry_at - now;
    fault.m_retry_after =
        std::clamp<time_span>(wanted, std::min(min_retry_after, longest), longest);
    return fault;
}

/// Removes an upstream whose address belongs to another upstream now. Its name is never reused.
void forget_upstream(gateway_state& state, const upstream_id& name, time_point now)
{
    log_event(log_level::info, "upstream_dropped",
              {{"upstream", name.value()}, {"reason", "its address belongs to another"}});
    remove_upstream(state, name, now);
}

dispatch::upstream_result result_of(const attempt_outcome& outcome)
{
    if (outcome.m_end == dispatch::attempt_end::not_reached) {
        return dispatch::upstream_result::unreachable;
    }
    return outcome.m_is_upstream_fault ? dispatch::upstream_result::failed
                                       : dispatch::upstream_result::good;
}

/// Passes the end of an attempt to the broker, the metrics and the log.
void end_attempt(gateway_state& state, const request_pointer& request, const upstream_id& upstream,
                 attempt_outcome outcome, time_point now)
{
    const auto& known = request->known();
    request->note_attempt_end(outcome.m_reason);
    state.m_metrics.attempt_ended(outcome.m_reason);
    state.m_metrics.answer_ended(outcome.m_answer);
    const bool is_completed = outcome.m_end == dispatch::attempt_end::completed;
    if (is_completed || outcome.m_is_upstream_fault) {
        const bool is_closed =
            state.m_pools.note_result(known.m_pool, upstream, result_of(outcome), now);
        if (is_closed) {
            log_event(log_level::warning, "upstream_closed",
                      {{"upstream", upstream.value()}, {"reason", outcome.m_reason}});
        }
    }
    if (!is_completed) {
        log_event(log_level::info, "attempt_failed",
                  {{"request", known.m_request_id},
                   {"upstream", upstream.value()},
                   {"reason", outcome.m_reason},
                   {"not_run", retry::is_never_begun(outcome.m_end)},
                   {"frame", frame_name(outcome.m_answer)},
                   {"connection", to_string(outcome.m_answer.m_connection)},
                   {"place", place_name(outcome.m_answer)},
                   {"unfinished_bytes", outcome.m_answer.m_unfinished_bytes},
                   {"content", known.m_content.value()}});
    }
    if (outcome.m_is_group_fault) {
        if (state.m_pools.note_group_refusal(known.m_pool, upstream, now)) {
            log_event(log_level::warning, "group_closed",
                      {{"request", known.m_request_id}, {"upstream", upstream.value()}});
        }
    }
    if (outcome.m_is_other_upstream) {
        forget_upstream(state, upstream, now);
    }
    // Whether the upstream crashed is determined separately; a broken connection doesn't show it.
    if (outcome.m_end == dispatch::attempt_end::upstream_died) {
        outcome.m_end = dispatch::attempt_end::unknown;
    }
    if (is_completed && !outcome.m_is_upstream_fault) {
        handle_answered_attempt(state, request, request->last_attempt(), now);
        if (const auto attempt = attempt_number(request->result().m_times.m_attempts);
            request->note_good_run(attempt)) {
            note_good_part_run(state, request, now);
        }
    }
    if (is_completed) {
        finish(state, request, now);
    }
    perform(state, state.m_pools.attempt_ended(known.m_pool, known.m_ticket, outcome.m_end, now),
            now);
}

void log_group_opened(const gateway_request::facts& known, const upstream_id& upstream)
{
    log_event(log_level::info, "group_opened",
              {{"request", known.m_request_id}, {"upstream", upstream.value()}});
}

void note_first_token(gateway_state& state, const request_pointer& request,
                      const upstream_id& upstream, time_point now)
{
    const auto& known = request->known();
    if (state.m_pools.first_token(known.m_pool, known.m_ticket, now)) {
        log_group_opened(known, upstream);
    }
}

void note_next_event(gateway_state& state, const request_pointer& request,
                     const upstream_id& upstream, time_point now)
{
    const auto& known = request->known();
    if (state.m_pools.next_event(known.m_pool, known.m_ticket, now)) {
        log_group_opened(known, upstream);
    }
}

/// Records the rate limit in an answer's head, or its absence.
void note_rate_limit(gateway_state& state, const sent_attempt& sent,
                     const std::optional<double>& limit, time_point now)
{
    bool is_changed = false;
    if (!limit) {
        is_changed = state.m_upstreams.note_no_limit(sent.m_upstream, sent.m_incarnation,
                                                     sent.m_sent_at, now);
    }
    else if (std::isnan(*limit)) {
        log_event(log_level::warning, "upstream_limit_unreadable",
                  {{"upstream", sent.m_upstream.value()}});
    }
    else {
        is_changed =
            state.m_upstreams.note_limit({sent.m_upstream, sent.m_incarnation, *limit, now});
    }
    if (is_changed) {
        apply_rate_limit(state, sent.m_upstream, limit, now);
    }
}

/// Ends the attempt, and with it the exclusive grant of its content, as soon as it is known whether
/// the upstream crashed. Then the request may be retried.
void end_broken_attempt(gateway_state& state, const request_pointer& request,
                        const sent_attempt& sent, const attempt_outcome& outcome, time_point now)
{
    const auto end = [&state, request, sent, outcome] {
        end_attempt(state, request, sent.m_upstream, outcome, program::now());
    };
    const bool has_evidence = is_part_evidence(sent, outcome.m_writing_since, now);
    handle_broken_attempt(state, request, sent, has_evidence, end, now);
}

/// An answer that goes on shows that the parts of its prompt crash no upstream.
void note_parts_that_run_on(gateway_state& state, const request_pointer& request,
                            attempt_number attempt, time_point now)
{
    const auto since = request->writing_since(attempt);
    if (since && has_outlived_crash(*since, now) && request->note_good_run(attempt)) {
        note_good_part_run(state, request, now);
    }
}

/// How an attempt ended that its gateway gave up.
dispatch::attempt_end end_of_abandoned(const gateway_request& request)
{
    return request.was_answered() ? dispatch::attempt_end::unknown
                                  : dispatch::attempt_end::unanswered;
}

/// Gives a running attempt up because of what its upstream sent, or did not send.
void end_faulty_attempt(gateway_state& state, const request_pointer& request,
                        const upstream_id& upstream, attempt_number attempt, const char* reason,
                        time_point now)
{
    if (request->abandon(attempt)) {
        end_attempt(state, request, upstream, {end_of_abandoned(*request), true, false, reason},
                    now);
    }
}

http::client_handlers handlers_of(gateway_state& state, const request_pointer& request,
                                  const sent_attempt& sent)
{
    http::client_handlers result;
    const auto& upstream = sent.m_upstream;
    const auto attempt = sent.m_number;
    result.m_may_send = [&state, upstream] {
        return state.m_upstreams.takes_requests(upstream, program::now());
    };
    result.m_on_head = [&state, request, sent, upstream, attempt](int status,
                                                                  const http::fields& head) {
        const auto now = program::now();
        auto answer = state.m_format.m_read_answer(status, head);
        const auto limit = answer.m_rate_limit;
        const bool is_from_upstream =
            (answer.m_is_proven || answer.m_is_not_run) && !answer.m_is_other_upstream;
        const bool is_plain_success = status / 100 == 2 && !answer.m_is_event_stream;
        if (!answer.m_is_other_upstream) {
            apply_notice(state, request->known(), sent, answer, now);
        }
        if (!request->receive_head(attempt, state.m_format, std::move(answer), head, now)) {
            end_faulty_attempt(state, request, upstream, attempt, "foreign_answer", now);
            return;
        }
        if (is_from_upstream) {
            record_upstream_answer(state, sent, now);
            note_rate_limit(state, sent, limit, now);
        }
        if (is_plain_success) {
            note_first_token(state, request, upstream, now);
        }
    };
    const bool has_parts = sent.m_parts != nullptr;
    result.m_on_data = [&state, request, upstream, attempt, has_parts](std::string bytes) {
        const auto now = program::now();
        if (has_parts) {
            note_parts_that_run_on(state, request, attempt, now);
        }
        switch (request->receive_data(attempt, std::move(bytes), now)) {
            case data_result::nothing:
                break;
            case data_result::first_event:
                note_first_token(state, request, upstream, now);
                break;
            case data_result::next_event:
                note_next_event(state, request, upstream, now);
                break;
            case data_result::too_large:
                end_faulty_attempt(state, request, upstream, attempt, "too_large", now);
                break;
        }
    };
    result.m_on_end = [&state, request, sent, upstream, attempt](const absl::Status& ended,
                                                                 http::progress how_far) {
        const auto now = program::now();
        const auto outcome = request->receive_end(attempt, ended, how_far);
        const bool is_connection_broken = !ended.ok() && how_far != http::progress::not_sent;
        const bool is_broken = is_connection_broken ||
                               (outcome && outcome->m_end == dispatch::attempt_end::upstream_died);
        state.m_upstreams.end_attempt(upstream, ended.ok() && !is_broken, now);
        if (!outcome) {
            return;
        }
        if (is_broken) {
            end_broken_attempt(state, request, sent, *outcome, now);
        }
        else {
            if (outcome->m_end == dispatch::attempt_end::not_reached) {
                check_unreachable_upstream(state, sent);
            }
            end_attempt(state, request, upstream, *outcome, now);
        }
    };
    return result;
}

/// Records an attempt by a configuration that is older than the newest known one, or that no quorum
/// of registries confirmed lately.
void report_unconfirmed_attempt(gateway_state& state, const gateway_request::facts& known,
                                attempt_number attempt, time_point now)
{
    const auto revision = known.m_book->m_revision;
    const auto newest = state.m_feed.newest_known_revision();
    const auto last = state.m_feed.last_confirmation();
    if (newest <= revision &&
        registrar::is_confirmed(last, revision, now - reported_confirmation_age)) {
        return;
    }
    state.m_metrics.count_unconfirmed_attempt();
    log_event(log_level::info, "attempt_unconfirmed",
              {{"request", known.m_request_id},
               {"attempt", attempt.value()},
               {"revision", revision.value()},
               {"newest_known", newest.value()},
               {"confirmed_revision", last.m_newest.value()},
               {"confirmed_ms", last.m_at == time_point{} ? -1 : milliseconds(now - last.m_at)}});
}

/// Records why a request is sent again, and what that leaves of the retry budget of its pool.
void report_retry(gateway_state& state, const gateway_request::facts& known,
                  const attempt_start& begun, const upstream_id& upstream)
{
    const auto budget = state.m_pools.retries_of(known.m_pool);
    state.m_metrics.count_retry(begun.m_last_end);
    log_event(log_level::info, "retry_begun",
              {{"request", known.m_request_id},
               {"attempt", begun.m_number.value()},
               {"upstream", upstream.value()},
               {"pool", known.m_pool},
               {"reason", begun.m_last_end},
               {"retries_sent", budget.m_sent},
               {"retries_left", budget.m_left},
               {"retries_arriving", budget.m_arriving}});
}

void begin_attempt(gateway_state& state, const request_pointer& request,
                   const dispatch::action& action, time_point now)
{
    const auto& known = request->known();
    const auto target = state.m_upstreams.find(action.m_upstream);
    // Another thread may have heard a notice since the broker decided.
    if (!target.m_client || !state.m_upstreams.takes_requests(action.m_upstream, now)) {
        perform(state,
                state.m_pools.attempt_ended(known.m_pool, known.m_ticket,
                                            dispatch::attempt_end::not_reached, now),
                now);
        return;
    }
    if (const auto refusal = quarantined_part_refusal(state, known, now)) {
        give_up(state, request, *refusal, now);
        return;
    }
    const auto order = state.m_feed.next_order(known.m_content);
    const auto parts =
        known.m_parts.empty()
            ? nullptr
            : std::make_shared<const std::vector<part_evidence>>(begin_part_run(state, known));
    const auto begun = request->begin(action.m_upstream, target.m_incarnation, order, now);
    if (!begun) {
        perform(state, state.m_pools.cancel(known.m_pool, known.m_ticket, now), now);
        return;
    }
    state.m_metrics.count_started_attempt();
    state.m_upstreams.begin_attempt(action.m_upstream);
    log_event(log_level::info, "attempt_begun",
              {{"request", known.m_request_id},
               {"attempt", begun->m_number.value()},
               {"upstream", action.m_upstream.value()},
               {"revision", known.m_book->m_revision.value()},
               {"waited_ms", milliseconds(now - known.m_arrival)},
               {"time_left_ms", milliseconds(begun->m_forwarding.m_time_left)},
               {"closed_by_notices", name_closed_by_notices(state, known.m_pool, now)},
               {"content", known.m_content.value()},
               {"order", order}});
    if (begun->m_number.value() > 1) {
        report_retry(state, known, *begun, action.m_upstream);
    }
    report_unconfirmed_attempt(state, known, begun->m_number, now);
    auto exchange = target.m_client->start(
        state.m_format.m_to_upstream(known.m_request, begun->m_forwarding),
        handlers_of(state, request,
                    {action.m_upstream, target.m_incarnation, begun->m_number, now, order, parts}),
        request->connections());
    request->attach(begun->m_number, std::move(exchange));
}

void end_overtaken_attempt(gateway_state& state, const request_pointer& request, time_point now)
{
    const auto attempt = request->attempt();
    const auto upstream = request->upstream();
    const auto unanswered = request->unanswered_attempt();
    if (attempt && request->abandon(*attempt)) {
        if (unanswered) {
            check_unanswered_attempt(state, request, *unanswered, now);
        }
        end_attempt(state, request, upstream,
                    {end_of_abandoned(*request), true, false, "outrun_by_others"}, now);
    }
}

/// Whether requests sent later than the running attempt were answered before it.
bool is_late(gateway_state& state, const gateway_request& request)
{
    const auto& known = request.known();
    const auto objective = known.m_route->m_latency_objective;
    if (objective <= time_span::zero() || !request.attempt()) {
        return false;
    }
    const bool is_stream = known.m_route->m_kind == routes::work_kind::streaming;
    const auto margin = std::chrono::duration_cast<time_span>(
        objective * (is_stream ? overtaken_share_of_stream : overtaken_share));
    return state.m_pools.is_overtaken(known.m_pool, known.m_ticket, margin);
}

/// Ends a late attempt so that it can be retried. A request that is not idempotent must not run
/// twice, so its attempt continues and only its upstream is checked.
void handle_late_attempt(gateway_state& state, const request_pointer& request, time_point now)
{
    if (routes::is_idempotent(*request->known().m_route)) {
        end_overtaken_attempt(state, request, now);
        return;
    }
    const auto unanswered = request->unanswered_attempt();
    if (unanswered && request->note_lateness()) {
        check_unanswered_attempt(state, request, *unanswered, now);
    }
}

}  // namespace

void fail_request(gateway_state& state, const request_pointer& request, const gateway_error& fault,
                  time_point now)
{
    request->fail(fault);
    finish(state, request, now);
}

void perform(gateway_state& state, const dispatch::actions& wanted, time_point now)
{
    for (const auto& action : wanted) {
        const auto request = state.m_requests.find(action.m_ticket);
        if (!request) {
            continue;  // it has ended since the broker decided
        }
        if (action.m_kind == dispatch::action::kind::refuse) {
            fail_request(state, request, to_error(*request, action, now), now);
        }
        else {
            begin_attempt(state, request, action, now);
        }
    }
}

void update_broker(gateway_state& state, const upstream_id& name, time_point now)
{
    dispatch::actions wanted;
    {
        const std::lock_guard lock(state.m_update_mutex);
        if (const auto info = state.m_upstreams.info(name, now)) {
            wanted = state.m_pools.update_upstream(state.m_upstreams.pool_of(name), *info, now);
        }
    }
    perform(state, wanted, now);
}

void remove_upstream(gateway_state& state, const upstream_id& name, time_point now)
{
    dispatch::actions wanted;
    {
        const std::lock_guard lock(state.m_update_mutex);
        const auto pool = state.m_upstreams.pool_of(name);
        state.m_upstreams.remove(name);
        wanted = state.m_pools.remove_upstream(pool, name, now);
    }
    perform(state, wanted, now);
}

void apply_rate_limit(gateway_state& state, const upstream_id& name,
                      const std::optional<double>& limit, time_point now)
{
    log_event(log_level::info, "upstream_limited",
              {{"upstream", name.value()},
               {"per_second", limit ? std::to_string(*limit) : std::string("none")}});
    update_broker(state, name, now);
}

void handle_caller_disconnect(gateway_state& state, const request_pointer& request, time_point now)
{
    const auto unanswered = request->unanswered_attempt();
    if (!request->mark_disconnected()) {
        return;
    }
    if (unanswered) {
        check_unanswered_attempt(state, request, *unanswered, now);
    }
    const auto& known = request->known();
    finish(state, request, now);
    perform(state, state.m_pools.cancel(known.m_pool, known.m_ticket, now), now);
}

void give_up(gateway_state& state, const request_pointer& request, gateway_error fault,
             time_point now)
{
    const auto& known = request->known();
    if (request->may_have_run()) {
        fault.m_status = 504;  // 503 would state that it was not run
        fault.m_retry_after = time_span::zero();
    }
    if (const auto unanswered = request->unanswered_attempt()) {
        check_unanswered_attempt(state, request, *unanswered, now);
    }
    fail_request(state, request, fault, now);
    perform(state, state.m_pools.cancel(known.m_pool, known.m_ticket, now), now);
}

void watch_request(gateway_state& state, const request_pointer& request, time_point now)
{
    if (request->known().m_deadline <= now) {
        give_up(state, request,
                {503, "time_limit_reached", "the request's time ran out", time_span::zero()}, now);
    }
    else if (const auto silent = request->silent_attempt(now)) {
        end_faulty_attempt(state, request, request->upstream(), *silent, "no_events", now);
    }
    else if (is_late(state, *request)) {
        handle_late_attempt(state, request, now);
    }
}

}  // namespace dewbeam::gateway
