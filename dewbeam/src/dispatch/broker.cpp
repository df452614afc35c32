#include "dewbeam/src/dispatch/broker.h"

#include <algorithm>
#include <set>
#include <utility>

#include "dewbeam/src/dispatch/group_gate.h"
#include "dewbeam/src/dispatch/permits.h"
#include "dewbeam/src/dispatch/request_life.h"
#include "dewbeam/src/dispatch/serve.h"

namespace dewbeam::dispatch {

namespace {

using configuration::work_class;

constexpr time_span longest_tick = std::chrono::milliseconds(50);
/// An upstream that said `not_run` gets nothing for so long.
constexpr time_span refusal_pause = std::chrono::milliseconds(50);
constexpr double block_gain = 0.01;
/// Of the margin after which others show that an upstream is late: a group that makes no steps will
/// hardly answer first.
constexpr double margin_share_of_still_group = 0.4;
/// Slots are kept for urgent work for so long after the last urgent request: a pool that serves
/// ordinary work alone loses none.
constexpr time_span reserve_span = std::chrono::minutes(10);

/// Why a new request may not even wait; none where it may.
std::optional<refusal> refusal_of_new(const broker& state, const pending_request& request,
                                      time_point now)
{
    if (const auto reason = lost_cause(state, request, now)) {
        return reason;
    }
    const auto permit_at = now + shortest_permit_wait(state, *request.m_route, now);
    if (permit_at > std::min(request.m_info.m_deadline, request.m_info.m_wait_deadline)) {
        return refusal::overloaded;
    }
    auto limits = state.m_options.m_queue;
    limits.m_most_queued = state.m_options.m_most_queued;
    const bool may_wait =
        admission::may_wait(facts_of(state, request, now), limits, lane_of(request).m_drain, now,
                            request.m_info.m_deadline);
    return may_wait ? std::nullopt : std::optional(refusal::overloaded);
}

/// How long a request waits for its next attempt: one that never gave its caller anything no longer
/// than it may wait in all, but for a moment for the other upstreams.
time_point retry_wait_deadline(const broker& state, const pending_request& request, time_point now)
{
    constexpr time_span shortest_wait = std::chrono::milliseconds(100);
    const auto longest = now + state.m_options.m_longest_retry_wait;
    if (request.m_route->m_able == 0 && has_hope(state.m_table, *request.m_route, now)) {
        return now + state.m_options.m_longest_doubt;
    }
    if (request.m_was_answered) {
        return longest;
    }
    return std::min(longest, std::max(request.m_info.m_wait_deadline, now + shortest_wait));
}

/// A failed attempt: a suspect of a death, a retry, or the final answer.
void after_failure(broker& state, pending_request& request, attempt_end end, time_point now,
                   random_engine& random, actions& result)
{
    const bool is_safe = retry::is_safe_to_retry(end, request.m_info.m_idempotent);
    if (!is_safe) {
        give_up(state, request, refusal::maybe_run, now, random, result);
        return;
    }
    if (const auto reason = lost_cause(state, request, now)) {
        give_up(state, request, *reason, now, random, result);
        return;
    }
    if (end == attempt_end::refused_busy) {
        // The queue only moved on too early: this costs no retry, and the upstream may be taken
        // again. Its pause bounds how often that can happen before the deadline.
        ++request.m_busy_refusals;
        request.m_tried.pop_back();
    }
    else if (end == attempt_end::not_reached || end == attempt_end::lost) {
        // It brings no more work in all: no upstream has seen it, or it was cancelled there. Many
        // may end so at once, and one after the other as their links are found to be lost.
        ++request.m_unreached;
    }
    else if (request.m_attempts - request.m_busy_refusals - request.m_unreached >=
                 most_attempts(state, request) ||
             !retry::take_retry(state.m_retry_budget)) {
        give_up(state, request, refusal::retries_exhausted, now, random, result);
        return;
    }
    const auto waits_until = retry_wait_deadline(state, request, now);
    if (must_wait_as_suspect(state, request, now)) {
        wait_as_suspect(state, request, waits_until, now);
        return;
    }
    wait_for_retry(state, request, waits_until);
}

void note_death(broker& state, const pending_request& request, time_point now)
{
    if (request.m_info.m_fingerprint == fingerprint{}) {
        return;
    }
    const auto& upstream = *state.m_table.m_upstreams[request.m_running_on];
    state.m_new_suspicions.push_back(quarantine::note_death(
        state.m_suspicions, request.m_info.m_fingerprint,
        {upstream.m_info.m_name, request.m_running_incarnation, now, request.m_runs_alone}));
}

void clear_suspicion(broker& state, fingerprint content, time_point now)
{
    if (auto record = quarantine::clear(state.m_suspicions, content, now)) {
        state.m_new_suspicions.push_back(std::move(*record));
    }
}

/// An upstream that refused is fuller than we knew: it gets a pause.
void note_not_run(broker& state, const pending_request& request, time_point now)
{
    auto& upstream = *state.m_table.m_upstreams[request.m_running_on];
    upstream.m_closed_until = now + refusal_pause;
}

/// Learns how many tokens a prefix block stands for.
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

/// Nothing more is sent to a group that makes no steps, but for a probe at times, until it does.
void close_still_groups(broker& state, time_point now)
{
    for (auto& group : find_still_groups(state.m_pulses, state.m_table, now)) {
        close_group(state.m_table, options_of(state), group, now);
        state.m_new_still_groups.push_back(std::move(group));
    }
}

/// How many blocks the upstream's memory holds, once both sizes are known.
void note_cache_size(broker& state, upstream_index index)
{
    const auto total = state.m_table.m_upstreams[index]->m_info.m_report.m_total_kv.m_count;
    if (total > 0 && state.m_block_tokens > 0.0) {
        state.m_prefixes.set_capacity(index, static_cast<double>(total) / state.m_block_tokens);
    }
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
    ++request.m_route->m_users;
    if (request.m_info.m_class == work_class::urgent) {
        state.m_table.m_reserved_until = now + reserve_span;
    }
    if (const auto reason = refusal_of_new(state, request, now)) {
        give_up(state, request, *reason, now, random, result);
    }
    else if (must_wait_as_suspect(state, request, now)) {
        wait_as_suspect(state, request, request.m_info.m_wait_deadline, now);
    }
    else {
        wait_in_queue(state, request, now);
    }
    pump(state, now, random, result);
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
    state.m_table.m_upstreams[subject.m_running_on]->m_pending_work -= subject.m_prompt_work;
    const double work = subject.m_work_before + subject.m_prompt_work;
    const double passed = to_seconds(now - subject.m_dispatched_at);
    routing::note_first_token(state.m_speed, work, passed);
    note_first_token_time(state.m_table.m_upstreams[subject.m_running_on]->m_slowness, passed, now);
    note_first_token_time(state.m_pool_speed, passed, now);
    state.m_answered_dispatch = std::max(state.m_answered_dispatch, subject.m_dispatched_at);
    note_event(state.m_pulses, state.m_table.m_upstreams[subject.m_running_on]->m_info.m_group,
               now);
    return open_group(state.m_table, options_of(state), subject.m_running_on, now);
}

bool next_event(broker& state, ticket request, time_point now)
{
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end() || place->second.m_phase != request_phase::running) {
        return false;
    }
    const auto index = place->second.m_running_on;
    const auto& group = state.m_table.m_upstreams[index]->m_info.m_group;
    return !group.empty() && note_event(state.m_pulses, group, now) &&
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
    if (end == attempt_end::completed && subject.m_runs_alone) {
        clear_suspicion(state, subject.m_info.m_fingerprint, now);
    }
    if (end == attempt_end::upstream_died) {
        note_death(state, subject, now);
    }
    if (retry::is_never_begun(end)) {
        note_not_run(state, subject, now);
    }
    release(state, subject, now);
    if (end == attempt_end::completed || end == attempt_end::cancelled) {
        forget(state, subject);
    }
    else {
        after_failure(state, subject, end, now, random, result);
    }
    pump(state, now, random, result);
    return result;
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
    pump(state, now, random, result);
    return result;
}

actions update_upstream(broker& state, const upstream_info& info, time_point now,
                        random_engine& random)
{
    actions result;
    const auto known = find_upstream(state.m_table, info.m_name);
    const bool is_restarted =
        known && state.m_table.m_upstreams[*known]->m_info.m_incarnation != info.m_incarnation;
    const auto index = put_upstream(state.m_table, options_of(state), info, now);
    if (is_restarted) {
        // What was learned of the life before says nothing of this one.
        auto& upstream = *state.m_table.m_upstreams[index];
        upstream.m_health = {};
        upstream.m_slowness = {};
        upstream.m_closed_until = {};
        upstream.m_permits.clear();
        state.m_prefixes.forget(index);
        refresh(state.m_table, options_of(state), index, now);
    }
    note_cache_size(state, index);
    pump(state, now, random, result);
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
    pump(state, now, random, result);
    return result;
}

actions tick(broker& state, time_point now, random_engine& random)
{
    actions result;
    for (const auto& [name, index] : state.m_table.m_names) {
        refresh(state.m_table, options_of(state), index, now);
    }
    if (const auto held_up = begin_turn(state.m_ticks, now, longest_tick);
        held_up > time_span::zero()) {
        put_off_stillness(state.m_pulses, held_up, now);
    }
    close_still_groups(state, now);
    refuse_lapsed(state, now, random, result);
    quarantine::expire(state.m_suspicions, now);
    pump(state, now, random, result);
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

bool is_outrun(const broker& state, ticket request, time_span margin)
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
    const double share = is_still(state.m_pulses, group) ? margin_share_of_still_group : 1.0;
    const auto least = std::chrono::duration_cast<time_span>(margin * share);
    return subject.m_dispatched_at + least < state.m_answered_dispatch;
}

actions upstream_is_silent(broker& state, ticket request, time_point now, random_engine& random)
{
    actions result;
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end() || place->second.m_phase != request_phase::running ||
        !place->second.m_info.m_idempotent) {
        return result;
    }
    note_silence(place->second, now);
    pump(state, now, random, result);
    return result;
}

void set_sharing(broker& state, std::uint32_t entries, const retry::budget_options& retries)
{
    state.m_options.m_entries_sharing = std::max(1U, entries);
    state.m_options.m_retries = retries;
    state.m_retry_budget.m_tokens = std::min(state.m_retry_budget.m_tokens, retries.m_burst);
}

std::vector<std::string> take_still_groups(broker& state)
{
    return std::exchange(state.m_new_still_groups, {});
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
    pump(state, now, random, result);
    return result;
}

std::vector<fingerprint> wanted_turns(const broker& state)
{
    std::set<fingerprint> wanted;
    for (const auto& [content, turn] : state.m_turns) {
        if (turn.m_runs != ticket{}) {
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

actions set_turns(broker& state, const std::vector<fingerprint>& granted, bool is_cut_off,
                  time_point now, random_engine& random)
{
    actions result;
    state.m_is_cut_off = is_cut_off;
    for (auto& [content, turn] : state.m_turns) {
        turn.m_is_granted = false;
    }
    for (const auto content : granted) {
        state.m_turns[content].m_is_granted = true;
    }
    std::erase_if(state.m_turns, [](const auto& item) {
        return !item.second.m_is_granted && item.second.m_runs == ticket{};
    });
    pump(state, now, random, result);
    return result;
}

void suspend_turn(broker& state, fingerprint content)
{
    const auto turn = state.m_turns.find(content);
    if (turn != state.m_turns.end()) {
        turn->second.m_is_granted = false;
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
