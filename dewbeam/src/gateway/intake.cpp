#include "dewbeam/src/gateway/intake.h"

#include <algorithm>
#include <utility>

#include "dewbeam/overload"
#include "dewbeam/src/gateway/forwarder.h"
#include "dewbeam/src/gateway/part_blame.h"

namespace dewbeam::gateway {

namespace {

/// Callers of streams disconnect after a time without an event: the longest of this, four latency
/// objectives and eight of the longest pauses.
constexpr time_span min_caller_patience = std::chrono::seconds(2);
constexpr int patience_in_objectives = 4;
constexpr int patience_in_pauses = 8;
/// Time for a first token once a request is sent.
constexpr time_span first_token_time = std::chrono::milliseconds(500);
/// Maximum time in the queue, absolute and as a share of the caller's time limit. A request that is
/// sent later is lost anyway.
constexpr time_span longest_wait = min_caller_patience - first_token_time;
constexpr double wait_share = 0.4;
/// Retry-After while this gateway is stopping; another gateway takes the retry.
constexpr time_span retry_after_when_stopping = std::chrono::milliseconds(100);
/// Retry-After for a caller that was refused because no configuration is known.
constexpr time_span retry_after_without_configuration = std::chrono::milliseconds(500);
/// A call is refused only by a configuration that a quorum of registries confirmed within this
/// time. Well below the time within which a change must be in force everywhere.
constexpr time_span refusal_confirmation_limit = std::chrono::seconds(1);
/// Without a confirmation for this long, the registries are taken to be partitioned away: calls
/// that need one don't wait for it.
constexpr time_span partition_limit = std::chrono::seconds(5);
/// Share of the latency objective that may be spent in the queue. The rest is left to the upstream:
/// a first token takes 0.4 of a usual objective, and 0.6 under load.
constexpr double queue_share = 0.4;

void refuse(http::exchange& answer, const std::string& request_id, const gateway_error& fault)
{
    log_event(log_level::info, "request_refused",
              {{"request", request_id}, {"status", fault.m_status}, {"code", fault.m_code}});
    answer.respond(to_response(fault, request_id));
}

/// Refuses a call that the configuration doesn't admit. Logs what the decision rests on.
void refuse_by_configuration(const gateway_state& state, const held_call& subject,
                             const gateway_error& fault, revisions::revision_number revision,
                             time_point now)
{
    const auto known = state.m_feed.last_confirmation();
    const bool is_known = known.m_at != time_point{};
    log_event(log_level::info, "request_refused",
              {{"request", subject.m_call.m_request_id},
               {"status", fault.m_status},
               {"code", fault.m_code},
               {"revision", revision.value()},
               {"newest_known", state.m_feed.newest_known_revision().value()},
               {"confirmed_revision", known.m_newest.value()},
               {"confirmed_ms", is_known ? to_milliseconds(now - known.m_at) : -1.0},
               {"confirmed_by", known.m_registry}});
    subject.m_answer->respond(to_response(fault, subject.m_call.m_request_id));
}

/// The route and the workspace of a request.
struct admission_result {
    const routes::route* m_route = nullptr;
    const routes::workspace* m_workspace = nullptr;
    std::optional<gateway_error> m_fault;
};

admission_result admit(const routes::book& rules, const caller_call& call)
{
    admission_result result;
    result.m_route = routes::find_route(rules, call.m_host, call.m_path);
    if (result.m_route == nullptr) {
        result.m_fault =
            gateway_error{404, "no_route", "no route serves this host and path", time_span::zero()};
        return result;
    }
    if (!call.m_key.empty()) {
        result.m_workspace = routes::find_workspace(rules, call.m_key);
    }
    const bool needs_key = !rules.m_workspaces.empty() && !result.m_route->m_allows_anonymous;
    if (needs_key && result.m_workspace == nullptr) {
        result.m_fault = gateway_error{401, "unknown_key", "the request carries no valid key",
                                       time_span::zero()};
    }
    return result;
}

/// Maximum total time that a call may wait, in the queue or for a configuration.
time_span max_wait_of(time_span time_limit)
{
    return std::min(longest_wait, std::chrono::duration_cast<time_span>(time_limit * wait_share));
}

/// How long the caller of a stream waits for its first event. In pools without overload control the
/// shortest patience is assumed of all, since urgent work may wait behind theirs there.
time_span caller_patience(const routes::route& subject, bool is_controlled)
{
    if (!is_controlled) {
        return min_caller_patience;
    }
    return std::max({min_caller_patience, subject.m_latency_objective * patience_in_objectives,
                     subject.m_gap_objective * patience_in_pauses});
}

/// Fingerprint of what upstreams receive of a request. It is the same for all copies, whichever
/// caller or gateway sends them.
fingerprint content_of(const gateway_request::facts& known)
{
    auto content = stable_hash(known.m_request.m_target, stable_hash(known.m_request.m_method));
    content = stable_hash(known.m_request.m_body, content);
    content = combine_hash(content, stable_hash(known.m_workspace.value()));
    return fingerprint(combine_hash(content, stable_hash(known.m_pool)));
}

/// The latest time at which the request can be sent and still meet its latency objective.
time_point prompt_deadline(const gateway_request::facts& known)
{
    const auto objective = known.m_route->m_latency_objective;
    if (objective <= time_span::zero()) {
        return no_deadline;
    }
    return known.m_arrival + std::chrono::duration_cast<time_span>(objective * queue_share);
}

dispatch::request_info to_info(const gateway_request::facts& known, const std::string& service,
                               bool is_controlled)
{
    dispatch::request_info info;
    info.m_ticket = known.m_ticket;
    info.m_fingerprint = known.m_content;
    info.m_workspace = known.m_workspace;
    info.m_selector = known.m_route->m_name;
    info.m_class = known.m_priority == 0 ? configuration::work_class::urgent
                                         : configuration::work_class::ordinary;
    info.m_priority = overload::combined_priority(known.m_priority, known.m_route->m_priority);
    info.m_upstreams = service_selector(service);
    info.m_idempotent = routes::is_idempotent(*known.m_route);
    info.m_prompt_tokens = known.m_call.m_prompt_tokens;
    info.m_output_tokens = known.m_call.m_output_hint.value_or(known.m_call.m_output_tokens);
    info.m_arrival = known.m_arrival;
    info.m_deadline = known.m_deadline;
    const auto share =
        std::chrono::duration_cast<time_span>((known.m_deadline - known.m_arrival) * wait_share);
    info.m_prompt_deadline = prompt_deadline(known);
    info.m_wait_deadline = known.m_arrival + std::min(longest_wait, share);
    if (known.m_route->m_kind == routes::work_kind::streaming) {
        const auto patience = caller_patience(*known.m_route, is_controlled);
        info.m_first_event_deadline = known.m_arrival + patience;
        info.m_wait_deadline = known.m_arrival + std::min(patience - first_token_time, share);
    }
    info.m_max_pause_time = known.m_route->m_gap_objective;
    info.m_most_attempts = known.m_route->m_most_attempts;
    return info;
}

const std::string& pick_service(gateway_state& state, const routes::route& subject)
{
    const std::lock_guard lock(state.m_random_mutex);
    return routes::choose_target(subject, state.m_random);
}

void refuse_pending_call(const held_call& subject)
{
    refuse(*subject.m_answer, subject.m_call.m_request_id,
           {503, "no_configuration", "the newest configuration has not arrived yet",
            retry_after_without_configuration});
}

void hold_call(gateway_state& state, held_call subject, const char* reason)
{
    const auto limit = subject.m_call.m_time_limit.value_or(longest_wait);
    subject.m_deadline = subject.m_arrival + max_wait_of(limit);
    const auto request_id = subject.m_call.m_request_id;
    const auto longest = subject.m_deadline - subject.m_arrival;
    const auto required = subject.m_required_revision;
    if (!state.m_held.add(subject)) {
        refuse_pending_call(subject);
        return;
    }
    log_event(
        log_level::info, "request_held",
        {{"request", request_id},
         {"reason", reason},
         {"revision", required.value()},
         {"longest_ms", std::chrono::duration_cast<std::chrono::milliseconds>(longest).count()}});
}

/// Holds a refused call if a registry has reported a newer configuration, which may admit it.
/// A call is held for a newer configuration at most once, so that frequent updates don't delay it
/// further. Returns false, leaving `subject` unchanged, if the refusal stands.
bool hold_for_newer_configuration(gateway_state& state, const routes::book& rules,
                                  held_call& subject)
{
    const auto newest = state.m_feed.newest_known_revision();
    const bool has_waited = subject.m_required_revision.value() != 0;
    if (has_waited || newest <= rules.m_revision) {
        return false;
    }
    subject.m_required_revision = newest;
    hold_call(state, std::move(subject), "newer_configuration");
    if (state.m_book.current()->m_revision >= newest) {
        release_held_calls(state);  // adopted between the check and the hold
    }
    return true;
}

/// Holds a refused call until a quorum of registries has confirmed that no newer configuration was
/// acknowledged, which might admit it. Returns false, leaving `subject` unchanged, if one has.
bool hold_for_confirmation(gateway_state& state, const routes::book& rules, held_call& subject,
                           time_point now)
{
    if (subject.m_required_confirmation == time_point{}) {
        subject.m_required_confirmation = now - refusal_confirmation_limit;
    }
    const auto since = subject.m_required_confirmation;
    const auto known = state.m_feed.last_confirmation();
    if (is_confirmed(known, rules.m_revision, since)) {
        return false;
    }
    if (known.m_at + partition_limit <= now) {
        refuse_pending_call(subject);
        return true;
    }
    hold_call(state, std::move(subject), "unconfirmed_configuration");
    if (is_confirmed(state.m_feed.last_confirmation(), rules.m_revision, since)) {
        release_held_calls(state);  // confirmed between the check and the hold
    }
    return true;
}

/// Submits a request to its pool. If the caller disconnects meanwhile, the ticket is cancelled
/// again here, since the first cancellation may have come before the broker knew the ticket.
void submit(gateway_state& state, const request_pointer& request, dispatch::request_info info,
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

/// Finds the call's route and workspace, and submits it to the pool of its service.
void route_call(gateway_state& state, const std::shared_ptr<const routes::book>& rules,
                held_call subject, time_point now)
{
    const auto admitted = admit(*rules, subject.m_call);
    if (admitted.m_fault && (hold_for_newer_configuration(state, *rules, subject) ||
                             hold_for_confirmation(state, *rules, subject, now))) {
        return;
    }
    if (admitted.m_fault) {
        refuse_by_configuration(state, subject, *admitted.m_fault, rules->m_revision, now);
        return;
    }
    gateway_request::facts known;
    known.m_ticket = dispatch::ticket(++state.m_last_ticket);
    known.m_request_id = subject.m_call.m_request_id;
    known.m_book = rules;
    known.m_route = admitted.m_route;
    known.m_priority = admitted.m_route->m_priority;
    if (admitted.m_workspace != nullptr) {
        known.m_workspace = admitted.m_workspace->m_name;
        known.m_priority = admitted.m_workspace->m_priority.value_or(known.m_priority);
    }
    known.m_call = std::move(subject.m_call);
    known.m_request = std::move(subject.m_request);
    known.m_arrival = subject.m_arrival;
    const auto limit = known.m_route->m_time_limit;
    known.m_deadline = known.m_arrival + std::min(limit, known.m_call.m_time_limit.value_or(limit));
    const auto& service = pick_service(state, *known.m_route);
    known.m_pool = pool_name(service);
    known.m_content = content_of(known);
    known.m_parts = part_keys_of(known.m_call, known.m_pool);
    if (const auto refusal = quarantined_part_refusal(state, known, now)) {
        refuse(*subject.m_answer, known.m_request_id, *refusal);
        return;
    }
    auto info = to_info(known, service, state.m_pools.is_overload_controlled(known.m_pool));
    const auto answer = std::move(subject.m_answer);
    const request_pointer request(
        new gateway_request(std::move(known), answer, state.m_answer_limits));
    state.m_requests.add(request);
    answer->on_gone(
        [&state, request] { handle_caller_disconnect(state, request, program::now()); });
    submit(state, request, std::move(info), now);
}

}  // namespace

void receive_call(gateway_state& state, http::request&& wanted,
                  const std::shared_ptr<http::exchange>& answer)
{
    const auto now = program::now();
    auto call = state.m_format.m_read_call(wanted);
    if (!call.ok()) {
        const std::string reason(call.status().message());
        refuse(*answer, "", {400, "bad_request", reason.c_str(), time_span::zero()});
        return;
    }
    if (!state.m_frame.takes_requests(now)) {
        refuse(*answer, call->m_request_id,
               {503, "stopping", "this gateway is about to stop", retry_after_when_stopping});
        return;
    }
    held_call subject{std::move(wanted), *std::move(call), answer, now, {}, {}, {}};
    if (const auto rules = state.m_book.current()) {
        route_call(state, rules, std::move(subject), now);
        return;
    }
    hold_call(state, std::move(subject), "no_configuration");
    if (state.m_book.current()) {
        release_held_calls(state);  // a configuration arrived in the meantime
    }
}

void release_held_calls(gateway_state& state)
{
    const auto rules = state.m_book.current();
    if (!rules || state.m_held.empty()) {
        return;
    }
    const auto now = program::now();
    const auto known = state.m_feed.last_confirmation();
    const auto confirmed_at = is_confirmed(known, rules->m_revision) ? known.m_at : time_point{};
    for (auto& subject : state.m_held.take_ready(rules->m_revision, confirmed_at)) {
        route_call(state, rules, std::move(subject), now);
    }
}

void refuse_expired_calls(gateway_state& state, time_point now)
{
    for (const auto& subject : state.m_held.take_expired_calls(now)) {
        refuse_pending_call(subject);
    }
}

void fail_all_requests(gateway_state& state, time_point now)
{
    refuse_expired_calls(state, no_deadline);  // all that are held
    for (const auto& request : state.m_requests.all()) {
        give_up(state, request, {503, "stopping", "this gateway stops", retry_after_when_stopping},
                now);
    }
}

}  // namespace dewbeam::gateway
