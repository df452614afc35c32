#include "dewbeam/src/dispatch/broker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "dewbeam/src/dispatch/group_gate.h"
#include "dewbeam/src/dispatch/permits.h"
#include "dewbeam/src/dispatch/request_lifecycle.h"
#include "dewbeam/src/dispatch/serve.h"
#include "dewbeam/src/dispatch/serve_by_cost.h"

namespace dewbeam::dispatch {

namespace {

using configuration::work_class;

constexpr time_span max_tick = std::chrono::milliseconds(50);
/// After an upstream answered `not_run`, nothing is dispatched to it for this time.
constexpr time_span refusal_pause = std::chrono::milliseconds(50);
constexpr double block_gain = 0.01;
/// Share of the `is_overtaken` margin that applies to a group found to make no progress: its
/// upstreams are unlikely to answer first, so a shorter margin is enough.
constexpr double margin_share_of_stalled_group = 0.4;
/// Slots are reserved for urgent work for this time after the last urgent request, so that a pool
/// that serves only ordinary work loses none.
constexpr time_span reserve_span = std::chrono::minutes(10);

/// Reason to refuse a new request at once; `nullopt` if it may wait.
std::optional<refusal> refusal_on_arrival(const broker& state, const pending_request& request,
                                          time_point now)
{
    if (const auto reason = refusal_if_unservable(state, request, now)) {
        return reason;
    }
    if (outwaits_backoffs(state, request, request.m_info.m_wait_deadline, now)) {
        return refusal::backing_off;
    }
    const auto permit_at = now + min_permit_wait(state, *request.m_route, now);
    if (permit_at > std::min(request.m_info.m_deadline, request.m_info.m_wait_deadline)) {
        return refusal::overloaded;
    }
    const bool is_controlled = state.m_options.m_overload.m_is_active;
    if (is_controlled &&
        overload::must_shed(backlog_of(state, request, now), request.m_info.m_wait_deadline, now)) {
        return refusal::overloaded;
    }
    auto limits = state.m_options.m_queue;
    limits.m_most_queued = state.m_options.m_most_queued;
    // Under overload control, a lane may rest while others drain, which says nothing of its rate.
    const auto drain = is_controlled ? admission::drain_meter{} : lane_of(request).m_drain;
    const bool may_wait = admission::may_wait(facts_of(state, request, now), limits, drain, now,
                                              request.m_info.m_deadline);
    return may_wait ? std::nullopt : std::optional(refusal::overloaded);
}

/// Until when a request waits for its next attempt. A request that has sent nothing to its caller
/// keeps its own wait deadline, extended to at least `min_wait_time` from now so that it can try
/// the other upstreams.
time_point retry_wait_deadline(const broker& state, const pending_request& request, time_point now)
{
    constexpr time_span min_wait_time = std::chrono::milliseconds(100);
    const auto max_retry_deadline = now + state.m_options.m_max_retry_wait;
    if (request.m_route->m_able == 0 && may_regain_member(state.m_table, *request.m_route, now)) {
        return now + state.m_options.m_max_doubt;
    }
    if (request.m_was_answered) {
        return max_retry_deadline;
    }
    return std::min(max_retry_deadline,
                    std::max(request.m_info.m_wait_deadline, now + min_wait_time));
}

/// Handles a failed attempt: the request waits for a retry or as a crash suspect, or is refused.
void handle_attempt_failure(broker& state, pending_request& request, attempt_end end,
                            time_point now, random_engine& random, actions& result)
{
    const bool is_safe = retry::is_safe_to_retry(end, request.m_info.m_idempotent);
    if (!is_safe) {
        refuse_request(state, request, refusal::maybe_run, now, random, result);
        return;
    }
    if (const auto reason = refusal_if_unservable(state, request, now)) {
        refuse_request(state, request, *reason, now, random, result);
        return;
    }
    const auto waits_until = retry_wait_deadline(state, request, now);
    if (outwaits_backoffs(state, request, waits_until, now)) {
        refuse_request(state, request, refusal::backing_off, now, random, result);
        return;
    }
    if (end == attempt_end::refused_busy) {
        // The request was dispatched before the upstream had room. This costs no retry, and the
        // upstream may be chosen again. Its pause bounds how often this can happen before the
        // deadline.
        ++request.m_busy_refusals;
        request.m_tried.pop_back();
    }
    else if (end == attempt_end::not_reached) {
        // Costs no retry, since no upstream received the request.
        ++request.m_unreached;
    }
    else if (!take_repeat(state, request, end, now, random)) {
        refuse_request(state, request, refusal::retries_exhausted, now, random, result);
        return;
    }
    if (must_wait_as_suspect(state, request, now)) {
        wait_as_suspect(state, request, waits_until, now);
        return;
    }
    wait_for_retry(state, request, waits_until);
}

void note_crash(broker& state, const pending_request& request, time_point now)
{
    if (request.m_info.m_fingerprint == fingerprint{}) {
        return;
    }
    const auto& upstream = *state.m_table.m_upstreams[request.m_running_on];
    state.m_new_suspicions.push_back(quarantine::note_crash(
        state.m_suspicions, request.m_info.m_fingerprint,
        {upstream.m_info.m_name, request.m_running_incarnation, now, request.m_runs_isolated}));
}

void clear_suspicion(broker& state, fingerprint content, time_point now)
{
    if (auto record = quarantine::clear(state.m_suspicions, content, now)) {
        state.m_new_suspicions.push_back(std::move(*record));
    }
}

/// An upstream that refused has less room than its report showed; it gets no requests for a pause.
void note_not_run(broker& state, const pending_request& request, time_point now)
{
    auto& upstream = *state.m_table.m_upstreams[request.m_running_on];
    upstream.m_closed_until = std::max(upstream.m_closed_until, now + refusal_pause);
}

/// Updates the mean number of tokens per prefix block.
void note_block_size(broker& state, const request_info& info)
{
    if (info.m_prefix.empty()) {
        return;
    }
    const auto tokens = static_cast<double>(info.m_prompt_tokens.m_count);
    const double sample = tokens / static_cast<double>(info.m_prefix.size());
    auto& mean = state.m_block_tokens;
    mean = mean == 0.0 ? sample : mean + block_gain * (sample - mean);
}

/// Closes groups that make no progress: until they do, they get only an occasional probe request.
void close_stalled_groups(broker& state, time_point now)
{
    for (auto& group : find_stalled_groups(state.m_group_progress, state.m_table, now)) {
        close_group(state.m_table, options_of(state), group, now);
        state.m_new_stalled_groups.push_back(std::move(group));
    }
}

/// Sets how many prefix blocks the upstream's cache holds, once both sizes are known.
void note_cache_size(broker& state, upstream_index index)
{
    const auto total = state.m_table.m_upstreams[index]->m_info.m_report.m_total_kv.m_count;
    if (total > 0 && state.m_block_tokens > 0.0) {
        state.m_prefixes.set_capacity(index, static_cast<double>(total) / state.m_block_tokens);
    }
}

/// Adapts the limits of the group that a stream runs in.
void note_pause(broker& state, pending_request& request, time_point now)
{
    if (state.m_options.m_overload.m_is_active && request.m_last_event_at != time_point{}) {
        const auto& upstream = state.m_table.m_upstreams[request.m_running_on]->m_info;
        auto& limits = step_limits_of(state, step_key(upstream));
        const auto pause = now - request.m_last_event_at;
        const auto objective = request.m_info.m_max_pause_time;
        overload::note_pause(limits.m_concurrency, pause, objective, now);
        overload::note_pass(limits.m_prefill, pause, objective, now);
    }
    request.m_last_event_at = now;
}

/// Moves the queued requests of a route to the lanes that apply now.
void change_lanes(broker& state, route& subject, time_point now)
{
    std::vector<pending_request*> queued;
    for (auto& [key, item] : subject.m_lanes) {
        for (auto* queue : {&item.m_queue, &item.m_late}) {
            while (auto* head = fairness::front(*queue)) {
                fairness::erase(*queue, *head);
                queued.push_back(static_cast<pending_request*>(head));
            }
        }
    }
    for (auto* request : queued) {
        set_lane(*request, state.m_options.m_overload.m_is_active);
        enqueue(state, *request, is_late(*request, now));
    }
}

/// Keeps requests from an upstream until the end of the backoff that it asked for.
void begin_backoff(broker& state, upstream_index index, time_point until, time_point now,
                   random_engine& random)
{
    auto& upstream = *state.m_table.m_upstreams[index];
    notices::begin_backoff(upstream.m_ramp, until,
                           {state.m_options.m_sharing_entry_count, upstream.m_info.m_slots}, now,
                           random);
    state.m_table.m_backoffs_until =
        std::max(state.m_table.m_backoffs_until, upstream.m_ramp.m_opens_at);
    refresh(state.m_table, options_of(state), index, now);
}

/// Takes this entry's share of the upstream's free slots if the others' requests were counted anew.
void share_slots(broker& state, upstream_index index, time_point now, random_engine& random)
{
    auto& upstream = *state.m_table.m_upstreams[index];
    const auto counted_at = upstream.m_info.m_report.m_others_counted_at;
    if (counted_at == time_point{} || counted_at == upstream.m_shared_at) {
        return;
    }
    upstream.m_shared_at = counted_at;
    const auto& limits = step_limits_of(state, step_key(upstream.m_info));
    const double share = overload::share_of_slots(limits.m_concurrency);
    upstream.m_max_in_flight =
        overload::max_in_flight({share * upstream.m_info.m_slots, upstream.m_in_flight,
                                 upstream.m_others_running, state.m_options.m_sharing_entry_count},
                                random);
    refresh(state.m_table, options_of(state), index, now);
}

}  // namespace

const char* to_string(refusal value)
{
    switch (value) {
        case refusal::no_able_upstream:
            return "no_able_upstream";
        case refusal::overloaded:
            return "overloaded";
        case refusal::deadline_passed:
            return "deadline_passed";
        case refusal::retries_exhausted:
            return "retries_exhausted";
        case refusal::maybe_run:
            return "maybe_run";
        case refusal::backing_off:
            return "upstreams_backing_off";
        case refusal::quarantined:
            break;
    }
    return "quarantined";
}

actions submit(broker& state, request_info info, time_point now, random_engine& random)
{
    actions result;
    const auto id = info.m_ticket;
    const auto [place, is_new] = state.m_requests.try_emplace(id);
    require(is_new, "submit needs a ticket that is not in the broker");
    auto& request = place->second;
    request.m_info = std::move(info);
    request.m_cost = cost_of(request.m_info);
    state.m_last_submit = now;
    note_block_size(state, request.m_info);
    request.m_route = &route_of(state.m_table, options_of(state), request.m_info.m_upstreams, now);
    set_lane(request, state.m_options.m_overload.m_is_active);
    ++request.m_route->m_users;
    note_arrival(request, now);
    if (request.m_info.m_class == work_class::urgent) {
        state.m_table.m_reserved_until = now + reserve_span;
    }
    if (const auto reason = refusal_on_arrival(state, request, now)) {
        refuse_request(state, request, *reason, now, random, result);
    }
    else if (must_wait_as_suspect(state, request, now)) {
        wait_as_suspect(state, request, request.m_info.m_wait_deadline, now);
    }
    else {
        wait_in_queue(state, request, now);
    }
    serve_eligible(state, now, random, result);
    return result;
}

bool first_token(broker& state, ticket request, time_point now)
{
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end() || place->second.m_phase != request_phase::running ||
        place->second.m_has_first_token) {
        return false;
    }
    auto& subject = place->second;
    subject.m_has_first_token = true;
    subject.m_was_answered = true;
    subject.m_last_event_at = now;
    settle_repeat(state, subject, false, now);
    state.m_table.m_upstreams[subject.m_running_on]->m_pending_work -= subject.m_prompt_work;
    const double work = subject.m_work_before + subject.m_prompt_work;
    const double passed = to_seconds(now - subject.m_dispatched_at);
    routing::note_first_token(state.m_speed, work, passed);
    auto& upstream = *state.m_table.m_upstreams[subject.m_running_on];
    notices::note_answered(upstream.m_ramp, subject.m_dispatched_at, upstream.m_info.m_slots);
    note_first_token_time(upstream.m_slowness, passed, now);
    note_first_token_time(state.m_pool_speed, passed, now);
    state.m_latest_answered_dispatch =
        std::max(state.m_latest_answered_dispatch, subject.m_dispatched_at);
    note_event(state.m_group_progress,
               state.m_table.m_upstreams[subject.m_running_on]->m_info.m_group, now);
    return open_group(state.m_table, options_of(state), subject.m_running_on, now);
}

bool next_event(broker& state, ticket request, time_point now)
{
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end() || place->second.m_phase != request_phase::running) {
        return false;
    }
    const auto index = place->second.m_running_on;
    note_pause(state, place->second, now);
    const auto& group = state.m_table.m_upstreams[index]->m_info.m_group;
    return !group.empty() && note_event(state.m_group_progress, group, now) &&
           open_group(state.m_table, options_of(state), index, now);
}

actions attempt_ended(broker& state, ticket request, attempt_end end, time_point now,
                      random_engine& random)
{
    actions result;
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end() || place->second.m_phase != request_phase::running) {
        return result;
    }
    auto& subject = place->second;
    if (end == attempt_end::completed) {
        note_run(subject, now);
    }
    if (end == attempt_end::completed && subject.m_runs_isolated) {
        clear_suspicion(state, subject.m_info.m_fingerprint, now);
    }
    if (end == attempt_end::upstream_died) {
        note_crash(state, subject, now);
    }
    if (retry::is_never_begun(end)) {
        note_not_run(state, subject, now);
    }
    const bool was_answered = subject.m_has_first_token;
    release(state, subject, now);
    if (end != attempt_end::not_reached && end != attempt_end::refused_busy) {
        settle_repeat(state, subject, !was_answered && retry::may_still_arrive(end), now);
    }
    if (end == attempt_end::completed || end == attempt_end::cancelled) {
        forget(state, subject);
    }
    else {
        handle_attempt_failure(state, subject, end, now, random, result);
    }
    serve_eligible(state, now, random, result);
    return result;
}

void note_backoff(broker& state, ticket request, time_point until, time_point now,
                  random_engine& random)
{
    const auto place = state.m_requests.find(request);
    if (place != state.m_requests.end() && place->second.m_phase == request_phase::running) {
        begin_backoff(state, place->second.m_running_on, until, now, random);
    }
}

actions cancel(broker& state, ticket request, time_point now, random_engine& random)
{
    actions result;
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end()) {
        return result;
    }
    if (place->second.m_phase == request_phase::running) {
        return attempt_ended(state, request, attempt_end::cancelled, now, random);
    }
    stop_waiting(state, place->second, now);
    forget(state, place->second);
    serve_eligible(state, now, random, result);
    return result;
}

actions update_upstream(broker& state, const upstream_info& info, time_point now,
                        random_engine& random)
{
    actions result;
    const auto known = find_upstream(state.m_table, info.m_name);
    const bool is_restarted =
        known && state.m_table.m_upstreams[*known]->m_info.m_incarnation != info.m_incarnation;
    if (known && info.m_is_cold && !state.m_table.m_upstreams[*known]->m_info.m_is_cold) {
        // Permits at the rate of a warm upstream don't apply to a cold one.
        state.m_table.m_upstreams[*known]->m_permits.clear();
    }
    const auto index = put_upstream(state.m_table, options_of(state), info, now);
    if (state.m_options.m_overload.m_is_active) {
        share_slots(state, index, now, random);
    }
    if (is_restarted) {
        // What was measured of the previous incarnation does not apply to this one.
        auto& upstream = *state.m_table.m_upstreams[index];
        upstream.m_health = {};
        upstream.m_slowness = {};
        upstream.m_closed_until = {};
        upstream.m_ramp = {};
        upstream.m_permits.clear();
        upstream.m_max_in_flight.reset();
        state.m_prefixes.forget(index);
        refresh(state.m_table, options_of(state), index, now);
    }
    if (info.m_backoff_until > now) {
        begin_backoff(state, index, info.m_backoff_until, now, random);
    }
    note_cache_size(state, index);
    serve_eligible(state, now, random, result);
    return result;
}

actions remove_upstream(broker& state, const upstream_id& name, time_point now,
                        random_engine& random)
{
    actions result;
    if (const auto index = find_upstream(state.m_table, name)) {
        state.m_prefixes.forget(*index);
        drop_upstream(state.m_table, options_of(state), name, now);
    }
    serve_eligible(state, now, random, result);
    return result;
}

actions tick(broker& state, time_point now, random_engine& random)
{
    actions result;
    for (const auto& [name, index] : state.m_table.m_names) {
        refresh(state.m_table, options_of(state), index, now);
    }
    if (const auto held_up = begin_turn(state.m_ticks, now, max_tick);
        held_up > time_span::zero()) {
        extend_stall_deadlines(state.m_group_progress, held_up, now);
    }
    close_stalled_groups(state, now);
    refuse_expired(state, now, random, result);
    refuse_backed_off(state, now, random, result);
    if (state.m_options.m_overload.m_is_active) {
        shed_late_requests(state, now, random, result);
    }
    quarantine::expire(state.m_suspicions, now);
    serve_eligible(state, now, random, result);
    return result;
}

void cache_event(broker& state, const upstream_id& name, const routing::cache_event& event)
{
    if (const auto index = find_upstream(state.m_table, name)) {
        state.m_prefixes.note_event(*index, event);
    }
}

bool note_result(broker& state, const upstream_id& name, upstream_result how, time_point now)
{
    const auto index = find_upstream(state.m_table, name);
    if (!index) {
        return false;
    }
    auto& subject = state.m_table.m_upstreams[*index]->m_health;
    if (how == upstream_result::good) {
        note_success(subject, state.m_options.m_health, now);
        return false;
    }
    const bool is_closed = note_failure(subject, state.m_options.m_health, how, now);
    refresh(state.m_table, options_of(state), *index, now);
    return is_closed;
}

bool note_group_refusal(broker& state, const upstream_id& name, time_point now)
{
    const auto index = find_upstream(state.m_table, name);
    if (!index) {
        return false;
    }
    const auto& group = state.m_table.m_upstreams[*index]->m_info.m_group;
    return close_group(state.m_table, options_of(state), group, now);
}

bool is_overtaken(const broker& state, ticket request, time_span margin)
{
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end()) {
        return false;
    }
    const auto& subject = place->second;
    if (subject.m_phase != request_phase::running || subject.m_has_first_token) {
        return false;
    }
    const auto& group = state.m_table.m_upstreams[subject.m_running_on]->m_info.m_group;
    const double share =
        is_still(state.m_group_progress, group) ? margin_share_of_stalled_group : 1.0;
    const auto least = std::chrono::duration_cast<time_span>(margin * share);
    return subject.m_dispatched_at + least < state.m_latest_answered_dispatch;
}

actions note_unresponsive_upstream(broker& state, ticket request, time_point now,
                                   random_engine& random)
{
    actions result;
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end() || place->second.m_phase != request_phase::running ||
        !place->second.m_info.m_idempotent) {
        return result;
    }
    note_unresponsive(place->second, now);
    serve_eligible(state, now, random, result);
    return result;
}

void set_sharing(broker& state, std::uint32_t entries, const retry::budget_options& retries)
{
    state.m_options.m_sharing_entry_count = std::max(1U, entries);
    state.m_options.m_retries = retries;
    retry::limit(state.m_retry_budget, retries);
}

void set_overload_control(broker& state, bool is_active, time_point now)
{
    if (state.m_options.m_overload.m_is_active == is_active) {
        return;
    }
    state.m_options.m_overload.m_is_active = is_active;
    state.m_floor_credits.clear();
    state.m_table.m_step_limits.clear();
    for (const auto& subject : state.m_table.m_routes) {
        change_lanes(state, *subject, now);
    }
    for (const auto& [name, index] : state.m_table.m_names) {
        state.m_table.m_upstreams[index]->m_max_in_flight.reset();
        state.m_table.m_upstreams[index]->m_shared_at = {};
        refresh(state.m_table, options_of(state), index, now);
    }
}

std::vector<std::string> take_stalled_groups(broker& state)
{
    return std::exchange(state.m_new_stalled_groups, {});
}

std::vector<quarantine::suspicion> take_suspicions(broker& state)
{
    return std::exchange(state.m_new_suspicions, {});
}

actions merge_suspicion(broker& state, const quarantine::suspicion& record, time_point now,
                        random_engine& random)
{
    actions result;
    quarantine::merge(state.m_suspicions, record);
    serve_eligible(state, now, random, result);
    return result;
}

std::vector<fingerprint> wanted_turns(const broker& state)
{
    std::set<fingerprint> wanted;
    for (const auto& [content, grant] : state.m_exclusive_grants) {
        if (grant.m_runs != ticket{}) {
            wanted.insert(content);
        }
    }
    for (const auto& subject : state.m_table.m_routes) {
        for (const auto& item : subject->m_suspects) {
            wanted.insert(static_cast<const pending_request&>(item).m_info.m_fingerprint);
        }
    }
    return {wanted.begin(), wanted.end()};
}

actions set_exclusive_grants(broker& state, const std::vector<fingerprint>& granted,
                             bool is_cut_off, time_point now, random_engine& random)
{
    actions result;
    state.m_is_cut_off = is_cut_off;
    for (auto& [content, grant] : state.m_exclusive_grants) {
        grant.m_is_granted = false;
    }
    for (const auto content : granted) {
        state.m_exclusive_grants[content].m_is_granted = true;
    }
    std::erase_if(state.m_exclusive_grants, [](const auto& item) {
        return !item.second.m_is_granted && item.second.m_runs == ticket{};
    });
    serve_eligible(state, now, random, result);
    return result;
}

void suspend_exclusive_grant(broker& state, fingerprint content)
{
    const auto grant = state.m_exclusive_grants.find(content);
    if (grant != state.m_exclusive_grants.end()) {
        grant->second.m_is_granted = false;
    }
}

void lift_quarantine(broker& state, fingerprint content, time_point now)
{
    clear_suspicion(state, content, now);
}

std::size_t queued(const broker& state)
{
    return state.m_waiting;
}

std::size_t in_flight(const broker& state)
{
    return state.m_requests.size() - state.m_waiting;
}

}  // namespace dewbeam::dispatch
