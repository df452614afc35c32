#include "dewbeam/src/dispatch/request_lifecycle.h"

#include <algorithm>
#include <cmath>

#include "dewbeam/src/dispatch/group_gate.h"
#include "dewbeam/src/dispatch/permits.h"
#include "dewbeam/src/dispatch/serve.h"
#include "dewbeam/src/dispatch/serve_by_cost.h"

namespace dewbeam::dispatch {

namespace {

using configuration::work_class;

/// Max retries and suspects that are examined per call.
constexpr std::size_t max_examined = 32;
/// A request is not dispatched if even this share of its expected run time exceeds its deadline.
constexpr double min_run_share = 0.5;
constexpr double run_gain = 0.1;
/// Time constant in seconds by which a measured run time decays without new measurements.
constexpr double run_lifetime = 30.0;
/// Cost for an upstream of generating the answer, in prompt tokens.
constexpr double output_work = 300.0;
/// A request leaves an unresponsive upstream only after this time. By then it is known whether the
/// other upstreams are unresponsive too, and an upstream that stalled briefly has resumed.
constexpr time_span unresponsive_settle_time = std::chrono::milliseconds(1200);
/// Twice the interval at which an unresponsive upstream is reported.
constexpr time_span unresponsive_expiry = std::chrono::seconds(1);
/// What a group that has just formed takes for a first token of those that waited for it.
constexpr time_span first_token_of_formed_group = std::chrono::milliseconds(900);
/// Stale entries that the heap of deadlines may hold before it is worth compacting.
constexpr std::size_t max_lapsed_deadlines = 1024;

time_span to_span(double value)
{
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(value));
}

/// Expected total run time. It is zero for an idle route and decays without new measurements:
/// otherwise run times measured in a slow period could keep all requests out, and nothing new would
/// be measured.
time_span expected_run(const broker& state, const pending_request& request, time_point now)
{
    if (request.m_route->m_users <= 1 || !state.m_options.m_runs_must_fit) {
        return time_span::zero();
    }
    const auto tokens = static_cast<double>(request.m_info.m_output_tokens.m_count) + 1.0;
    const auto& subject = lane_of(request);
    const double fading = std::exp(-to_seconds(now - subject.m_run_noted_at) / run_lifetime);
    return to_span(subject.m_run_seconds_per_token * tokens * fading);
}

bool is_later(const queued_deadline& a, const queued_deadline& b)
{
    return a.m_deadline != b.m_deadline ? a.m_deadline > b.m_deadline : a.m_ticket > b.m_ticket;
}

action refuse(const broker& state, pending_request& request, refusal reason, time_point now,
              random_engine& random)
{
    auto& subject = lane_of(request);
    auto limits = state.m_options.m_queue;
    action result;
    result.m_kind = action::kind::refuse;
    result.m_ticket = request.m_info.m_ticket;
    result.m_refusal = reason;
    result.m_retry_at = now + limits.m_shortest_return;
    if (reason == refusal::quarantined) {
        result.m_retry_at =
            std::max(result.m_retry_at,
                     quarantine::ends_at(state.m_suspicions, request.m_info.m_fingerprint, now));
    }
    else if (reason == refusal::backing_off) {
        const auto end = end_of_backoffs(state.m_table, *request.m_route, now).value_or(now);
        const auto in_line =
            admission::next_return(subject.m_returns, limits, subject.m_drain,
                                   cost_of(request.m_info), end - now, now, random);
        result.m_retry_at = std::max(in_line, end);  // the line is bounded, a backoff may be longer
    }
    else if (reason == refusal::overloaded || reason == refusal::deadline_passed) {
        const bool is_controlled = state.m_options.m_overload.m_is_active;
        const auto wait = is_controlled ? overload::expected_wait(backlog_of(state, request, now))
                                        : admission::expected_wait(facts_of(state, request, now),
                                                                   subject.m_drain);
        const auto& drain = is_controlled ? request.m_route->m_drain : subject.m_drain;
        result.m_retry_at = admission::next_return(subject.m_returns, limits, drain,
                                                   cost_of(request.m_info), wait, now, random);
        const auto permit_at = now + min_permit_wait(state, *request.m_route, now);
        result.m_retry_at = std::max(result.m_retry_at, permit_at);
    }
    return result;
}

/// Reason to refuse a request whose wait expired.
refusal refusal_on_expiry(const broker& state, const pending_request& request, time_point now)
{
    if (request.m_info.m_deadline <= now) {
        return refusal::deadline_passed;
    }
    if (end_of_backoffs(state.m_table, *request.m_route, now)) {
        return refusal::backing_off;
    }
    return has_serving_member(state.m_table, *request.m_route, now) ? refusal::overloaded
                                                                    : refusal::no_able_upstream;
}

/// Whether the request may wait at the agent. An agent without a free slot refuses urgent work,
/// which is then sent elsewhere, as long as attempts, retry budget and untried upstreams are left:
/// the entry's view of other entries' work is outdated, the agent's is not. Half of the retry
/// budget is kept for failures.
bool may_wait_there(const broker& state, const pending_request& request, time_point now)
{
    return request.m_info.m_class == work_class::ordinary ||
           request.m_attempts >= max_attempts_of(state, request) ||
           state.m_retry_budget.m_tokens < state.m_options.m_retries.m_burst / 2.0 ||
           !has_untried(state.m_table, request, now);
}

/// Whether a request that waited for a group is too late now that it has formed: all that waited
/// are dispatched at once, to ranks with the expert map of a new group, and its caller would
/// disconnect before they read its prompt. Refused now, it can return.
bool is_too_late_for_formed_group(const pending_request& request, time_point now)
{
    return request.m_info.m_arrival < request.m_route->m_formed_at && !request.m_was_answered &&
           request.m_info.m_first_event_deadline < now + first_token_of_formed_group;
}

/// All requests of a route that are not running.
std::vector<pending_request*> waiting_requests(route& subject)
{
    std::vector<pending_request*> result;
    const auto add = [&](fairness::item_list& items) {
        for (auto& item : items) {
            result.push_back(&static_cast<pending_request&>(item));
        }
    };
    for (auto& [key, item] : subject.m_lanes) {
        for (auto* queue : {&item.m_queue, &item.m_late}) {
            for (auto& flow : queue->m_turns) {
                add(flow.m_items);
            }
        }
    }
    add(subject.m_retries);
    add(subject.m_suspects);
    return result;
}

/// Marks the exclusive grant of a suspect's content as used by the request.
void use_exclusive_grant(broker& state, const pending_request& request, time_point now)
{
    if (state.m_options.m_suspects_run_exclusively &&
        standing_of(state, request.m_info, now) == quarantine::standing::suspect) {
        state.m_exclusive_grants[request.m_info.m_fingerprint].m_runs = request.m_info.m_ticket;
    }
}

void end_exclusive_grant(broker& state, const pending_request& request)
{
    const auto grant = state.m_exclusive_grants.find(request.m_info.m_fingerprint);
    if (grant != state.m_exclusive_grants.end() &&
        grant->second.m_runs == request.m_info.m_ticket) {
        grant->second.m_runs = ticket{};
    }
}

}  // namespace

route_options options_of(const broker& state)
{
    const auto& options = state.m_options;
    return {options.m_failure_domain,      options.m_entry,     options.m_subset_size,
            options.m_sharing_entry_count, options.m_max_doubt, options.m_classes,
            options.m_overload.m_is_active};
}

lane& lane_of(const pending_request& request)
{
    return request.m_route->m_lanes[request.m_lane];
}

bool is_waiting(const lane& subject)
{
    return subject.m_queue.m_size > 0 || subject.m_late.m_size > 0;
}

fairness::fair_queue& queue_of(lane& subject, bool is_late)
{
    return is_late ? subject.m_late : subject.m_queue;
}

bool is_late(const pending_request& request, time_point now)
{
    return request.m_info.m_prompt_deadline <= now;
}

void enqueue(const broker& state, pending_request& request, bool is_late)
{
    request.m_waits_late = is_late;
    if (is_late && state.m_options.m_overload.m_is_active) {
        fairness::push(lane_of(request).m_late, request, workspace_id(), 1.0);
        return;
    }
    fairness::push(queue_of(lane_of(request), is_late), request, request.m_info.m_workspace,
                   request.m_info.m_workspace_weight);
}

std::uint32_t max_attempts_of(const broker& state, const pending_request& request)
{
    const auto own = request.m_info.m_most_attempts;
    return own > 0 ? own : state.m_options.m_most_attempts;
}

bool take_repeat(broker& state, pending_request& request, attempt_end end, time_point now,
                 random_engine& random)
{
    if (end == attempt_end::lost) {
        if (!retry::borrow_retry(state.m_retry_budget, state.m_options.m_retries)) {
            return false;
        }
        // Many attempts of one request may end this way, as connections are found lost one by one.
        ++request.m_unreached;
        return true;
    }
    const auto attempts = request.m_attempts - request.m_busy_refusals - request.m_unreached;
    if (attempts >= max_attempts_of(state, request) ||
        !retry::take_retry(state.m_retry_budget, state.m_options.m_retries, now, random)) {
        return false;
    }
    // Of an attempt that may still arrive and its retry, the later one counts as the retry.
    request.m_is_retry_under_way = !retry::may_still_arrive(end);
    if (!request.m_is_retry_under_way) {
        retry::give_up_retry(state.m_retry_budget, now);
    }
    return true;
}

void settle_repeat(broker& state, pending_request& request, bool may_still_arrive, time_point now)
{
    if (!std::exchange(request.m_is_retry_under_way, false)) {
        return;
    }
    if (may_still_arrive) {
        retry::give_up_retry(state.m_retry_budget, now);
    }
    else {
        retry::settle_retry(state.m_retry_budget);
    }
}

double cost_of(const request_info& info)
{
    constexpr double least_weight = 0.01;
    const auto tokens = (info.m_prompt_tokens + info.m_output_tokens).m_count;
    return std::max(1.0, static_cast<double>(tokens)) /
           std::max(info.m_selector_weight, least_weight);
}

void note_run(const pending_request& request, time_point now)
{
    const auto tokens = static_cast<double>(request.m_info.m_output_tokens.m_count) + 1.0;
    const double sample = to_seconds(now - request.m_dispatched_at) / tokens;
    lane_of(request).m_run_noted_at = now;
    auto& mean = lane_of(request).m_run_seconds_per_token;
    mean = mean == 0.0 ? sample : mean + run_gain * (sample - mean);
}

void begin_waiting(broker& state, pending_request& request, request_phase phase,
                   time_point waits_until)
{
    request.m_phase = phase;
    ++state.m_waiting;
    request.m_waits_until = std::min(request.m_info.m_deadline, waits_until);
    if (request.m_waits_until == no_deadline) {
        return;
    }
    auto& heap = state.m_deadlines;
    if (heap.size() > 2 * state.m_waiting + max_lapsed_deadlines) {
        std::erase_if(heap, [&](const queued_deadline& item) {
            const auto place = state.m_requests.find(item.m_ticket);
            return place == state.m_requests.end() ||
                   place->second.m_phase == request_phase::running;
        });
        std::make_heap(heap.begin(), heap.end(), is_later);
    }
    heap.push_back({request.m_waits_until, request.m_info.m_ticket});
    std::push_heap(heap.begin(), heap.end(), is_later);
}

void end_hold(broker& state, const pending_request& request, time_point now)
{
    for (const auto index : std::vector<upstream_index>(request.m_route->m_members)) {
        auto& upstream = *state.m_table.m_upstreams[index];
        if (upstream.m_held_for == request.m_info.m_ticket) {
            upstream.m_held_for = ticket{};
            refresh(state.m_table, options_of(state), index, now);
        }
    }
}

void stop_waiting(broker& state, pending_request& request, time_point now)
{
    switch (request.m_phase) {
        case request_phase::queued:
            if (request.m_flow != nullptr) {
                fairness::erase(queue_of(lane_of(request), request.m_waits_late), request);
            }
            break;
        case request_phase::retrying:
            request.m_route->m_retries.erase(request.m_route->m_retries.iterator_to(request));
            break;
        case request_phase::suspect:
            request.m_route->m_suspects.erase(request.m_route->m_suspects.iterator_to(request));
            end_hold(state, request, now);
            break;
        case request_phase::fresh:
        case request_phase::running:
            return;
    }
    request.m_phase = request_phase::fresh;
    --state.m_waiting;
}

bool must_wait_as_suspect(const broker& state, const pending_request& request, time_point now)
{
    if (standing_of(state, request.m_info, now) != quarantine::standing::suspect) {
        return false;
    }
    const auto grant = state.m_exclusive_grants.find(request.m_info.m_fingerprint);
    return grant == state.m_exclusive_grants.end() || !grant->second.m_is_granted ||
           grant->second.m_runs != ticket{};
}

void wait_as_suspect(broker& state, pending_request& request, time_point waits_until,
                     time_point now)
{
    const bool runs_exclusively = state.m_options.m_suspects_run_exclusively;
    request.m_suspect_starts_from = now + state.m_options.m_suspect_start_delay;
    begin_waiting(state, request, request_phase::suspect,
                  runs_exclusively ? waits_until : no_deadline);
    request.m_route->m_suspects.push_back(request);
}

void wait_in_queue(broker& state, pending_request& request, time_point now)
{
    catch_up(state, request);
    begin_waiting(state, request, request_phase::queued, request.m_info.m_wait_deadline);
    enqueue(state, request, is_late(request, now));
}

void wait_for_retry(broker& state, pending_request& request, time_point waits_until)
{
    begin_waiting(state, request, request_phase::retrying, waits_until);
    request.m_route->m_retries.push_back(request);
}

void forget(broker& state, pending_request& request)
{
    settle_repeat(state, request, false, {});
    --request.m_route->m_users;
    state.m_requests.erase(ticket(request.m_info.m_ticket));
}

admission::queue_facts facts_of(const broker& state, const pending_request& request, time_point now)
{
    const auto& queue = queue_of(lane_of(request), request.m_waits_late);
    const auto* own = fairness::find_flow(queue, request.m_info.m_workspace);
    const double weight = std::max(0.01, request.m_info.m_workspace_weight);
    const double others = queue.m_weight - (own != nullptr ? own->m_weight : 0.0);
    const double share = weight / (weight + std::max(0.0, others));
    admission::queue_facts facts;
    facts.m_queued = state.m_waiting;
    facts.m_own_queued = own != nullptr ? own->m_items.size() : 0;
    const double own_backlog = own != nullptr ? own->m_backlog : 0.0;
    // It waits for its workspace's backlog, but no longer than its fair share of the whole queue.
    facts.m_cost_before = std::min(own_backlog, queue.m_backlog * share);
    facts.m_share = share;
    facts.m_run_time = expected_run(state, request, now);
    return facts;
}

quarantine::standing standing_of(const broker& state, const request_info& info, time_point now)
{
    if (info.m_fingerprint == fingerprint{} || state.m_suspicions.m_records.empty()) {
        return quarantine::standing::clear;
    }
    const auto standing = quarantine::standing_of(state.m_suspicions, info.m_fingerprint, now);
    if (standing != quarantine::standing::suspect || !state.m_is_cut_off) {
        return standing;
    }
    const bool may_run = quarantine::deaths_of(state.m_suspicions, info.m_fingerprint, now) <= 1;
    return may_run ? quarantine::standing::clear : quarantine::standing::quarantined;
}

bool is_unservable(const broker& state, const route& subject, time_point now)
{
    if (subject.m_able > 0 || may_regain_member(state.m_table, subject, now)) {
        return false;
    }
    // Waiting for upstreams of drained domains would outlast the callers.
    return !state.m_options.m_waits_for_upstreams || is_drained(state.m_table, subject);
}

std::optional<refusal> refusal_if_unservable(const broker& state, const pending_request& request,
                                             time_point now)
{
    const auto& info = request.m_info;
    if (info.m_deadline <= now) {
        return refusal::deadline_passed;
    }
    if (standing_of(state, info, now) == quarantine::standing::quarantined) {
        return refusal::quarantined;
    }
    if (is_unservable(state, *request.m_route, now) || is_too_late_for_formed_group(request, now)) {
        return refusal::no_able_upstream;
    }
    const auto min_run = to_span(to_seconds(expected_run(state, request, now)) * min_run_share);
    if (info.m_deadline != no_deadline && now + min_run > info.m_deadline) {
        return refusal::overloaded;
    }
    return std::nullopt;
}

bool outwaits_backoffs(const broker& state, const pending_request& request, time_point waits_until,
                       time_point now)
{
    const auto end = end_of_backoffs(state.m_table, *request.m_route, now);
    return end && *end > std::min(request.m_info.m_deadline, waits_until);
}

void refuse_backed_off(broker& state, time_point now, random_engine& random, actions& result)
{
    std::vector<pending_request*> found;
    for (const auto& subject : state.m_table.m_routes) {
        const auto end = end_of_backoffs(state.m_table, *subject, now);
        if (!end) {
            continue;
        }
        for (auto* request : waiting_requests(*subject)) {
            if (request->m_waits_until < *end) {
                found.push_back(request);
            }
        }
    }
    for (auto* request : found) {
        refuse_request(state, *request, refusal::backing_off, now, random, result);
    }
}

void refuse_request(broker& state, pending_request& request, refusal reason, time_point now,
                    random_engine& random, actions& result)
{
    stop_waiting(state, request, now);
    result.push_back(refuse(state, request, reason, now, random));
    forget(state, request);
}

step_limits& step_limits_of(broker& state, const std::string& key)
{
    const auto [place, is_new] = state.m_table.m_step_limits.try_emplace(key);
    if (is_new) {
        constexpr std::size_t parts = 1000;
        const auto hash = std::hash<std::string>{}(state.m_options.m_entry.value() + key);
        place->second.m_prefill.m_credit = static_cast<double>(hash % parts) / parts;
    }
    return place->second;
}

void start(broker& state, pending_request& request, const choice& chosen, bool alone,
           time_point now, actions& result)
{
    auto& upstream = *state.m_table.m_upstreams[chosen.m_index];
    if (request.m_attempts == 0) {
        retry::count_first_try(state.m_retry_budget, state.m_options.m_retries, now);
    }
    use_exclusive_grant(state, request, now);
    ++request.m_attempts;
    request.m_phase = request_phase::running;
    request.m_running_on = chosen.m_index;
    request.m_running_incarnation = upstream.m_info.m_incarnation;
    request.m_runs_isolated = alone;
    request.m_has_first_token = false;
    request.m_dispatched_at = now;
    request.m_last_event_at = {};
    request.m_prompt_work = chosen.m_missing_tokens;
    request.m_work_before = upstream.m_pending_work;
    request.m_tried.push_back(upstream.m_info.m_name);
    ++upstream.m_in_flight;
    upstream.m_ordinary_in_flight += request.m_info.m_class == work_class::ordinary ? 1 : 0;
    upstream.m_pending_work += chosen.m_missing_tokens;
    upstream.m_tokens_since_report += static_cast<double>(request.m_info.m_prompt_tokens.m_count);
    upstream.m_runs_isolated = alone;
    upstream.m_recent_work = recent_work(upstream, now) + chosen.m_missing_tokens + output_work;
    upstream.m_last_dispatch = now;
    upstream.m_running.push_back(request);
    if (upstream.m_info.m_rate_limit) {
        use_permit(upstream, now);
    }
    notices::note_sent(upstream.m_ramp);
    state.m_prefixes.note_dispatch(chosen.m_index, request.m_info.m_prefix);
    if (state.m_options.m_overload.m_is_active) {
        overload::note_prompt(step_limits_of(state, step_key(upstream.m_info)).m_prefill, now);
    }
    refresh(state.m_table, options_of(state), chosen.m_index, now);
    note_group_start(state.m_table, options_of(state), chosen.m_index, now);
    action step;
    step.m_ticket = request.m_info.m_ticket;
    step.m_upstream = upstream.m_info.m_name;
    step.m_incarnation = upstream.m_info.m_incarnation;
    step.m_alone = alone;
    step.m_may_wait = alone || may_wait_there(state, request, now);
    result.push_back(std::move(step));
}

void note_unresponsive(pending_request& request, time_point now)
{
    if (!request.m_is_upstream_unresponsive) {
        request.m_is_upstream_unresponsive = true;
        request.m_redispatch_from = now + unresponsive_settle_time;
        request.m_route->m_unanswered.push_back(request);
    }
    request.m_unresponsive_until = now + unresponsive_expiry;
}

void end_unresponsive(pending_request& request)
{
    if (request.m_is_upstream_unresponsive) {
        request.m_is_upstream_unresponsive = false;
        request.m_route->m_unanswered.erase(request.m_route->m_unanswered.iterator_to(request));
    }
}

void release(broker& state, pending_request& request, time_point now)
{
    end_unresponsive(request);
    end_exclusive_grant(state, request);
    const auto index = request.m_running_on;
    auto& upstream = *state.m_table.m_upstreams[index];
    upstream.m_running.erase(upstream.m_running.iterator_to(request));
    --upstream.m_in_flight;
    upstream.m_ordinary_in_flight -= request.m_info.m_class == work_class::ordinary ? 1 : 0;
    if (!request.m_has_first_token) {
        upstream.m_pending_work -= request.m_prompt_work;
        notices::note_unanswered(upstream.m_ramp, request.m_dispatched_at);
    }
    upstream.m_runs_isolated = upstream.m_runs_isolated && !request.m_runs_isolated;
    upstream.m_ended.push_back(
        {request.m_info.m_class == work_class::urgent, request.m_dispatched_at, now});
    constexpr std::size_t max_ended = 256;
    if (upstream.m_ended.size() > max_ended) {
        upstream.m_ended.pop_front();
    }
    request.m_phase = request_phase::fresh;
    refresh(state.m_table, options_of(state), index, now);
    free_if_unused(state.m_table, index);
}

void refuse_expired(broker& state, time_point now, random_engine& random, actions& result)
{
    auto& heap = state.m_deadlines;
    while (!heap.empty() && heap.front().m_deadline <= now) {
        std::pop_heap(heap.begin(), heap.end(), is_later);
        const auto expired = heap.back();
        heap.pop_back();
        const auto place = state.m_requests.find(expired.m_ticket);
        if (place != state.m_requests.end() && place->second.m_phase != request_phase::running &&
            place->second.m_waits_until == expired.m_deadline) {
            const auto reason = refusal_on_expiry(state, place->second, now);
            refuse_request(state, place->second, reason, now, random, result);
        }
    }
}

std::vector<pending_request*> first_of(fairness::item_list& list)
{
    std::vector<pending_request*> result;
    for (auto& item : list) {
        if (result.size() == max_examined) {
            break;
        }
        result.push_back(&static_cast<pending_request&>(item));
    }
    return result;
}

}  // namespace dewbeam::dispatch
