#include "dewbeam/src/dispatch/broker.h"

#include <algorithm>

namespace dewbeam::dispatch {

namespace {

using configuration::work_class;

/// An upstream that said `not_run` gets nothing for so long.
constexpr time_span refusal_pause = std::chrono::milliseconds(50);
/// Retries and suspects that are looked at in one go.
constexpr std::size_t most_looked_at = 32;
/// A request is not sent off when even this share of its expected run time is beyond its deadline.
constexpr double least_run_share = 0.5;
constexpr double run_gain = 0.05;
constexpr double block_gain = 0.01;
/// Slots are kept for urgent work for so long after the last urgent request: a pool that serves
/// ordinary work alone loses none.
constexpr time_span reserve_span = std::chrono::minutes(10);
/// What producing the answer costs an upstream, in prompt tokens.
constexpr double output_work = 300.0;
/// Without this many lapsed entries the heap of deadlines is not worth tidying.
constexpr std::size_t most_lapsed_deadlines = 1024;

double seconds(time_span value)
{
    return std::chrono::duration<double>(value).count();
}

time_span to_span(double value)
{
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(value));
}

route_options options_of(const broker& state)
{
    const auto& options = state.m_options;
    return {options.m_failure_domain, options.m_entry, options.m_subset_size,
            options.m_entries_sharing, options.m_classes};
}

lane& lane_of(const pending_request& request)
{
    return request.m_route->m_lanes[place_of(request.m_info.m_class)];
}

double cost_of(const request_info& info)
{
    constexpr double least_weight = 0.01;
    const auto tokens = (info.m_prompt_tokens + info.m_output_tokens).m_count;
    return std::max(1.0, static_cast<double>(tokens)) /
           std::max(info.m_selector_weight, least_weight);
}

time_span expected_run(const pending_request& request)
{
    const auto tokens = static_cast<double>(request.m_info.m_output_tokens.m_count) + 1.0;
    return to_span(lane_of(request).m_run_seconds_per_token * tokens);
}

void note_run(const pending_request& request, time_point now)
{
    const auto tokens = static_cast<double>(request.m_info.m_output_tokens.m_count) + 1.0;
    const double sample = seconds(now - request.m_dispatched_at) / tokens;
    auto& mean = lane_of(request).m_run_seconds_per_token;
    mean = mean == 0.0 ? sample : mean + run_gain * (sample - mean);
}

bool is_later(const queued_deadline& a, const queued_deadline& b)
{
    return a.m_deadline != b.m_deadline ? a.m_deadline > b.m_deadline : a.m_ticket > b.m_ticket;
}

/// A request begins to wait: its deadline is watched.
void begin_waiting(broker& state, pending_request& request, request_phase phase)
{
    request.m_phase = phase;
    ++state.m_waiting;
    if (request.m_info.m_deadline == no_deadline) {
        return;
    }
    auto& heap = state.m_deadlines;
    if (heap.size() > 2 * state.m_waiting + most_lapsed_deadlines) {
        std::erase_if(heap, [&](const queued_deadline& item) {
            const auto place = state.m_requests.find(item.m_ticket);
            return place == state.m_requests.end() ||
                   place->second.m_phase == request_phase::running;
        });
        std::make_heap(heap.begin(), heap.end(), is_later);
    }
    heap.push_back({request.m_info.m_deadline, request.m_info.m_ticket});
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

/// Takes a waiting request out of the queue or list that it is in.
void stop_waiting(broker& state, pending_request& request, time_point now)
{
    switch (request.m_phase) {
        case request_phase::queued:
            if (request.m_flow != nullptr) {
                fairness::erase(lane_of(request).m_queue, request);
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

void forget(broker& state, pending_request& request)
{
    --request.m_route->m_users;
    state.m_requests.erase(ticket(request.m_info.m_ticket));
}

bool is_waiting(const lane& subject)
{
    return subject.m_queue.m_size > 0;
}

/// Expected wait of one more request of this workspace.
admission::queue_facts facts_of(const broker& state, const pending_request& request)
{
    const auto& queue = lane_of(request).m_queue;
    const auto* own = fairness::find_flow(queue, request.m_info.m_workspace);
    const double weight = std::max(0.01, request.m_info.m_workspace_weight);
    const double others = queue.m_weight - (own != nullptr ? own->m_weight : 0.0);
    const double share = weight / (weight + std::max(0.0, others));
    admission::queue_facts facts;
    facts.m_queued = state.m_waiting;
    facts.m_own_queued = own != nullptr ? own->m_items.size() : 0;
    const double own_backlog = own != nullptr ? own->m_backlog : 0.0;
    // Its turn comes after its own share of the queue, at worst after everything.
    facts.m_cost_before = std::min(own_backlog, queue.m_backlog * share);
    facts.m_share = share;
    facts.m_run_time = expected_run(request);
    return facts;
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
            quarantine::ends_at(state.m_suspicions, request.m_info.m_fingerprint, now);
    }
    else if (reason == refusal::overloaded || reason == refusal::deadline_passed) {
        const auto wait = admission::expected_wait(facts_of(state, request), subject.m_drain);
        result.m_retry_at = admission::next_return(subject.m_returns, limits, subject.m_drain,
                                                   cost_of(request.m_info), wait, now, random);
    }
    return result;
}

/// Gives a request its final answer and forgets it.
void give_up(broker& state, pending_request& request, refusal reason, time_point now,
             random_engine& random, actions& result)
{
    stop_waiting(state, request, now);
    result.push_back(refuse(state, request, reason, now, random));
    forget(state, request);
}

/// Urgent work is sent on by an agent that has no slot, as long as that can still end well: what
/// the entry knows of the other entries' work is old, what the agent knows is not. Half of the
/// retry budget is left for failures.
bool may_wait_there(const broker& state, const pending_request& request)
{
    return request.m_info.m_class == work_class::ordinary ||
           request.m_attempts >= state.m_options.m_most_attempts ||
           state.m_retry_budget.m_tokens < state.m_options.m_retries.m_burst / 2.0 ||
           !has_untried(state.m_table, request);
}

void start(broker& state, pending_request& request, const choice& chosen, bool alone,
           time_point now, actions& result)
{
    auto& upstream = *state.m_table.m_upstreams[chosen.m_index];
    if (request.m_attempts == 0) {
        retry::count_first_try(state.m_retry_budget, state.m_options.m_retries);
    }
    ++request.m_attempts;
    request.m_phase = request_phase::running;
    request.m_running_on = chosen.m_index;
    request.m_running_incarnation = upstream.m_info.m_incarnation;
    request.m_runs_alone = alone;
    request.m_has_first_token = false;
    request.m_dispatched_at = now;
    request.m_prompt_work = chosen.m_missing_tokens;
    request.m_work_before = upstream.m_pending_work;
    request.m_tried.push_back(upstream.m_info.m_name);
    ++upstream.m_in_flight;
    upstream.m_ordinary_in_flight += request.m_info.m_class == work_class::ordinary ? 1 : 0;
    upstream.m_pending_work += chosen.m_missing_tokens;
    upstream.m_tokens_since_report += static_cast<double>(request.m_info.m_prompt_tokens.m_count);
    upstream.m_runs_alone = alone;
    upstream.m_recent_work = recent_work(upstream, now) + chosen.m_missing_tokens + output_work;
    upstream.m_last_dispatch = now;
    upstream.m_running.push_back(request);
    state.m_prefixes.note_dispatch(chosen.m_index, request.m_info.m_prefix);
    refresh(state.m_table, options_of(state), chosen.m_index, now);
    action step;
    step.m_ticket = request.m_info.m_ticket;
    step.m_upstream = upstream.m_info.m_name;
    step.m_incarnation = upstream.m_info.m_incarnation;
    step.m_alone = alone;
    step.m_may_wait = alone || may_wait_there(state, request);
    result.push_back(std::move(step));
}

/// A running request leaves its upstream.
void release(broker& state, pending_request& request, time_point now)
{
    const auto index = request.m_running_on;
    auto& upstream = *state.m_table.m_upstreams[index];
    upstream.m_running.erase(upstream.m_running.iterator_to(request));
    --upstream.m_in_flight;
    upstream.m_ordinary_in_flight -= request.m_info.m_class == work_class::ordinary ? 1 : 0;
    upstream.m_pending_work -= request.m_has_first_token ? 0.0 : request.m_prompt_work;
    upstream.m_runs_alone = upstream.m_runs_alone && !request.m_runs_alone;
    upstream.m_ended.push_back(
        {request.m_info.m_class == work_class::urgent, request.m_dispatched_at, now});
    constexpr std::size_t most_ended = 256;
    if (upstream.m_ended.size() > most_ended) {
        upstream.m_ended.pop_front();
    }
    request.m_phase = request_phase::fresh;
    refresh(state.m_table, options_of(state), index, now);
    free_if_unused(state.m_table, index);
}

choice_context context_of(const broker& state, time_point now)
{
    return {state.m_table,
            state.m_prefixes,
            state.m_speed,
            state.m_options.m_choice,
            state.m_options.m_failure_domain,
            now};
}

quarantine::standing standing_of(const broker& state, const request_info& info, time_point now)
{
    if (info.m_fingerprint == fingerprint{} || state.m_suspicions.m_records.empty()) {
        return quarantine::standing::clear;
    }
    return quarantine::standing_of(state.m_suspicions, info.m_fingerprint, now);
}

void wait_as_suspect(broker& state, pending_request& request, time_point now)
{
    request.m_alone_from = now + state.m_options.m_suspect_pause;
    begin_waiting(state, request, request_phase::suspect);
    request.m_route->m_suspects.push_back(request);
}

/// Why a waiting request can't go any more; none while it still can.
std::optional<refusal> lost_cause(const broker& state, const pending_request& request,
                                  time_point now)
{
    const auto& info = request.m_info;
    if (info.m_deadline <= now) {
        return refusal::deadline_passed;
    }
    if (standing_of(state, info, now) == quarantine::standing::quarantined) {
        return refusal::quarantined;
    }
    if (request.m_route->m_able == 0) {
        return refusal::no_able_upstream;
    }
    const auto least_run = to_span(seconds(expected_run(request)) * least_run_share);
    if (info.m_deadline != no_deadline && now + least_run > info.m_deadline) {
        return refusal::overloaded;
    }
    return std::nullopt;
}

bool is_open(const route& subject, std::size_t place)
{
    return !subject.m_open[place].m_near.empty() || !subject.m_open[place].m_far.empty();
}

/// The lane of a class that was served least and can go, or whose requests must be refused.
route* next_route(const broker& state, std::size_t place)
{
    route* best = nullptr;
    for (const auto& candidate : state.m_table.m_routes) {
        const auto& subject = candidate->m_lanes[place];
        if (!is_waiting(subject) || (candidate->m_able > 0 && !is_open(*candidate, place))) {
            continue;
        }
        if (best == nullptr || subject.m_served < best->m_lanes[place].m_served) {
            best = candidate.get();
        }
    }
    return best;
}

double head_cost(route& subject, std::size_t place)
{
    return fairness::front(subject.m_lanes[place].m_queue)->m_cost;
}

/// Which lane goes next: urgent first, but for what ordinary work is due.
struct turn {
    route* m_route = nullptr;
    std::size_t m_place = 0;
    double m_ordinary_cost = 0.0;  ///< of the ordinary head that waits meanwhile; 0: none
};

/// Cost of an ordinary request that waits, whether or not it can go now; 0 where none waits.
double waiting_ordinary_cost(const broker& state)
{
    const auto place = place_of(work_class::ordinary);
    for (const auto& candidate : state.m_table.m_routes) {
        if (is_waiting(candidate->m_lanes[place])) {
            return head_cost(*candidate, place);
        }
    }
    return 0.0;
}

turn next_turn(const broker& state)
{
    auto* urgent = next_route(state, place_of(work_class::urgent));
    auto* ordinary = next_route(state, place_of(work_class::ordinary));
    if (ordinary == nullptr) {
        return {urgent, place_of(work_class::urgent),
                urgent == nullptr ? 0.0 : waiting_ordinary_cost(state)};
    }
    const double cost = head_cost(*ordinary, place_of(work_class::ordinary));
    if (urgent == nullptr || fairness::ordinary_is_due(state.m_class_share, cost)) {
        return {ordinary, place_of(work_class::ordinary), 0.0};
    }
    return {urgent, place_of(work_class::urgent), cost};
}

void charge(broker& state, const turn& served, double cost)
{
    auto& subject = served.m_route->m_lanes[served.m_place];
    admission::note_drained(subject.m_drain, cost);
    subject.m_served += cost / std::max(1.0, subject.m_queue.m_weight);
    if (served.m_place == place_of(work_class::ordinary)) {
        fairness::ordinary_went(state.m_class_share, cost);
    }
    else if (served.m_ordinary_cost > 0.0) {
        fairness::urgent_went(state.m_class_share, state.m_options.m_classes, cost,
                              served.m_ordinary_cost);
    }
}

/// Closes upstreams whose lease ended since the last tick.
void close_lapsed(broker& state, const route& subject, time_point now)
{
    for (const auto index : subject.m_members) {
        refresh(state.m_table, options_of(state), index, now);
    }
}

/// Serves the head of one lane; false when nothing could be done for it.
bool serve(broker& state, const turn& next, time_point now, random_engine& random, actions& result)
{
    auto& queue = next.m_route->m_lanes[next.m_place].m_queue;
    auto& request = static_cast<pending_request&>(*fairness::front(queue));
    if (const auto reason = lost_cause(state, request, now)) {
        give_up(state, request, *reason, now, random, result);
        return true;
    }
    if (standing_of(state, request.m_info, now) == quarantine::standing::suspect) {
        stop_waiting(state, request, now);
        wait_as_suspect(state, request, now);
        return true;
    }
    const auto chosen = choose(context_of(state, now), request, random);
    if (!chosen) {
        close_lapsed(state, *next.m_route, now);
        return !is_open(*next.m_route, next.m_place);
    }
    fairness::pop(queue, request);
    --state.m_waiting;
    charge(state, next, request.m_cost);
    start(state, request, *chosen, false, now, result);
    return true;
}

/// The first `most_looked_at` of a list, so that a long list can't slow down every call.
std::vector<pending_request*> first_of(fairness::item_list& list)
{
    std::vector<pending_request*> result;
    for (auto& item : list) {
        if (result.size() == most_looked_at) {
            break;
        }
        result.push_back(&static_cast<pending_request&>(item));
    }
    return result;
}

void serve_retries(broker& state, route& subject, time_point now, random_engine& random,
                   actions& result)
{
    for (auto* request : first_of(subject.m_retries)) {
        if (const auto reason = lost_cause(state, *request, now)) {
            give_up(state, *request, *reason, now, random, result);
            continue;
        }
        if (standing_of(state, request->m_info, now) == quarantine::standing::suspect) {
            stop_waiting(state, *request, now);
            wait_as_suspect(state, *request, now);
            continue;
        }
        const auto chosen = choose(context_of(state, now), *request, random);
        if (chosen) {
            stop_waiting(state, *request, now);
            start(state, *request, *chosen, false, now, result);
        }
    }
}

/// Whether the upstream that is held for a suspect is still the right kind.
bool may_run_alone(const broker& state, const pending_request& request, upstream_index index)
{
    const auto& upstream = *state.m_table.m_upstreams[index];
    return upstream.m_is_able &&
           (!was_tried(request, upstream) || !has_untried(state.m_table, request));
}

/// The upstream that a suspect may wait for: untried if there is one, then the emptiest.
std::optional<upstream_index> choose_alone(const broker& state, const pending_request& request)
{
    const bool may_repeat = !has_untried(state.m_table, request);
    std::optional<upstream_index> best;
    std::uint32_t best_load = 0;
    for (const auto index : request.m_route->m_members) {
        const auto& upstream = *state.m_table.m_upstreams[index];
        if (!upstream.m_is_able || upstream.m_runs_alone || upstream.m_held_for != ticket{} ||
            (!may_repeat && was_tried(request, upstream))) {
            continue;
        }
        const auto load = upstream.m_in_flight + upstream.m_others_running;
        if (!best || load < best_load) {
            best = index;
            best_load = load;
        }
    }
    return best;
}

std::size_t alone_count(const broker& state, const route& subject)
{
    return static_cast<std::size_t>(
        std::count_if(subject.m_members.begin(), subject.m_members.end(), [&](upstream_index i) {
            const auto& upstream = *state.m_table.m_upstreams[i];
            return upstream.m_runs_alone || upstream.m_held_for != ticket{};
        }));
}

std::optional<upstream_index> held_for(const broker& state, const pending_request& request)
{
    for (const auto index : request.m_route->m_members) {
        if (state.m_table.m_upstreams[index]->m_held_for == request.m_info.m_ticket) {
            return index;
        }
    }
    return std::nullopt;
}

/// Holds an upstream for a suspect where the limit allows.
std::optional<upstream_index> hold(broker& state, pending_request& request, time_point now)
{
    const auto& subject = *request.m_route;
    const auto limit = std::max<std::size_t>(
        1, static_cast<std::size_t>(subject.m_able * state.m_options.m_alone_share));
    if (alone_count(state, subject) >= limit) {
        return std::nullopt;
    }
    const auto index = choose_alone(state, request);
    if (index) {
        state.m_table.m_upstreams[*index]->m_held_for = request.m_info.m_ticket;
        refresh(state.m_table, options_of(state), *index, now);
    }
    return index;
}

/// Suspects run alone: each waits until an upstream held for it is empty.
void serve_suspects(broker& state, route& subject, time_point now, random_engine& random,
                    actions& result)
{
    close_lapsed(state, subject, now);
    for (auto* request : first_of(subject.m_suspects)) {
        if (const auto reason = lost_cause(state, *request, now)) {
            give_up(state, *request, *reason, now, random, result);
            continue;
        }
        auto index = held_for(state, *request);
        if (index && !may_run_alone(state, *request, *index)) {
            end_hold(state, *request, now);
            index.reset();
        }
        if (!index) {
            index = hold(state, *request, now);
        }
        if (!index) {
            continue;
        }
        const bool is_empty = state.m_table.m_upstreams[*index]->m_in_flight == 0;
        if (is_empty && request->m_alone_from <= now) {
            const auto prompt = static_cast<double>(request->m_info.m_prompt_tokens.m_count);
            stop_waiting(state, *request, now);
            start(state, *request, {*index, prompt, 0.0}, true, now, result);
        }
    }
}

void measure_drain(broker& state, time_point now)
{
    for (const auto& subject : state.m_table.m_routes) {
        for (auto& item : subject->m_lanes) {
            admission::advance(item.m_drain, is_waiting(item), now);
        }
    }
}

/// Serves everything that can go now.
void pump(broker& state, time_point now, random_engine& random, actions& result)
{
    for (std::size_t i = 0; i < state.m_table.m_routes.size(); ++i) {
        auto& subject = *state.m_table.m_routes[i];
        if (!subject.m_suspects.empty()) {
            serve_suspects(state, subject, now, random, result);
        }
        if (!subject.m_retries.empty()) {
            serve_retries(state, subject, now, random, result);
        }
    }
    for (auto next = next_turn(state); next.m_route != nullptr; next = next_turn(state)) {
        if (!serve(state, next, now, random, result)) {
            break;
        }
    }
    measure_drain(state, now);
}

/// A lane that was idle starts level with the least served one: idleness earns nothing.
void catch_up(const broker& state, pending_request& request)
{
    auto& own = lane_of(request);
    if (is_waiting(own)) {
        return;
    }
    const auto place = place_of(request.m_info.m_class);
    std::optional<double> least;
    for (const auto& other : state.m_table.m_routes) {
        const auto& subject = other->m_lanes[place];
        if (is_waiting(subject)) {
            least = std::min(least.value_or(subject.m_served), subject.m_served);
        }
    }
    own.m_served = std::max(own.m_served, least.value_or(own.m_served));
}

/// Why a new request may not even wait; none where it may.
std::optional<refusal> refusal_of_new(const broker& state, const pending_request& request,
                                      time_point now)
{
    if (const auto reason = lost_cause(state, request, now)) {
        return reason;
    }
    auto limits = state.m_options.m_queue;
    limits.m_most_queued = state.m_options.m_most_queued;
    const bool may_wait = admission::may_wait(
        facts_of(state, request), limits, lane_of(request).m_drain, now, request.m_info.m_deadline);
    return may_wait ? std::nullopt : std::optional(refusal::overloaded);
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
    if (request.m_attempts >= state.m_options.m_most_attempts ||
        !retry::take_retry(state.m_retry_budget)) {
        give_up(state, request, refusal::retries_exhausted, now, random, result);
        return;
    }
    if (standing_of(state, request.m_info, now) == quarantine::standing::suspect) {
        wait_as_suspect(state, request, now);
        return;
    }
    begin_waiting(state, request, request_phase::retrying);
    request.m_route->m_retries.push_back(request);
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

void refuse_lapsed(broker& state, time_point now, random_engine& random, actions& result)
{
    auto& heap = state.m_deadlines;
    while (!heap.empty() && heap.front().m_deadline <= now) {
        std::pop_heap(heap.begin(), heap.end(), is_later);
        const auto lapsed = heap.back();
        heap.pop_back();
        const auto place = state.m_requests.find(lapsed.m_ticket);
        if (place != state.m_requests.end() && place->second.m_phase != request_phase::running &&
            place->second.m_info.m_deadline == lapsed.m_deadline) {
            give_up(state, place->second, refusal::deadline_passed, now, random, result);
        }
    }
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
    note_block_size(state, request.m_info);
    request.m_route = &route_of(state.m_table, options_of(state), request.m_info.m_upstreams, now);
    ++request.m_route->m_users;
    if (request.m_info.m_class == work_class::urgent) {
        state.m_table.m_reserved_until = now + reserve_span;
    }
    if (const auto reason = refusal_of_new(state, request, now)) {
        give_up(state, request, *reason, now, random, result);
    }
    else if (standing_of(state, request.m_info, now) == quarantine::standing::suspect) {
        wait_as_suspect(state, request, now);
    }
    else {
        catch_up(state, request);
        begin_waiting(state, request, request_phase::queued);
        fairness::push(lane_of(request).m_queue, request, request.m_info.m_workspace,
                       request.m_info.m_workspace_weight);
    }
    pump(state, now, random, result);
    return result;
}

void first_token(broker& state, ticket request, time_point now)
{
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end() || place->second.m_phase != request_phase::running ||
        place->second.m_has_first_token) {
        return;
    }
    auto& subject = place->second;
    subject.m_has_first_token = true;
    state.m_table.m_upstreams[subject.m_running_on]->m_pending_work -= subject.m_prompt_work;
    const double work = subject.m_work_before + subject.m_prompt_work;
    routing::note_first_token(state.m_speed, work, seconds(now - subject.m_dispatched_at));
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
    if (end == attempt_end::not_run) {
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
        state.m_prefixes.forget(index);
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
