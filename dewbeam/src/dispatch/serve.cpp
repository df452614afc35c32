#include "dewbeam/src/dispatch/serve.h"

#include <algorithm>
#include <utility>

#include "dewbeam/src/dispatch/request_lifecycle.h"
#include "dewbeam/src/dispatch/serve_by_cost.h"
#include "dewbeam/src/dispatch/suspects.h"

namespace dewbeam::dispatch {

namespace {

using configuration::work_class;

/// Max expected seconds to a first token of an upstream that replaces an unresponsive one. With a
/// longer one, as in a stalled group, it is no better than the unresponsive one.
constexpr double max_restart_wait = 5.0;

/// A drain rate that was measured longer ago than this says nothing of the next wave.
constexpr time_span rate_lifetime = std::chrono::seconds(3);

choice_context context_of(const broker& state, time_point now)
{
    return {state.m_table,
            state.m_prefixes,
            state.m_speed,
            state.m_pool_speed,
            state.m_options.m_choice,
            state.m_options.m_failure_domain,
            now};
}

bool is_open(const route& subject, lane_key place)
{
    return is_any_open(subject.m_open[place]);
}

/// The least served route of a class that has requests to dispatch or to refuse.
route* next_route(const broker& state, lane_key place, bool is_late, time_point now)
{
    route* best = nullptr;
    for (const auto& candidate : state.m_table.m_routes) {
        auto& subject = candidate->m_lanes[place];
        const bool can_go = is_open(*candidate, place) || is_unservable(state, *candidate, now);
        if (queue_of(subject, is_late).m_size == 0 || !can_go) {
            continue;
        }
        if (best == nullptr || subject.m_served < best->m_lanes[place].m_served) {
            best = candidate.get();
        }
    }
    return best;
}

double head_cost(route& subject, lane_key place, bool is_late)
{
    return fairness::front(queue_of(subject.m_lanes[place], is_late))->m_cost;
}

/// The lane to serve next: urgent work first, except where ordinary work is due.
struct lane_selection {
    route* m_route = nullptr;
    lane_key m_place = 0;
    bool m_is_late = false;        ///< from the late queue
    double m_ordinary_cost = 0.0;  ///< of the ordinary head that is passed over; 0: none
};

/// Cost of a waiting ordinary request, whether or not it can be dispatched now; 0 if none waits.
double waiting_ordinary_cost(const broker& state, bool is_late)
{
    const auto place = place_of(work_class::ordinary);
    for (const auto& candidate : state.m_table.m_routes) {
        if (queue_of(candidate->m_lanes[place], is_late).m_size > 0) {
            return head_cost(*candidate, place, is_late);
        }
    }
    return 0.0;
}

lane_selection select_next_lane(const broker& state, bool is_late, time_point now)
{
    auto* urgent = next_route(state, place_of(work_class::urgent), is_late, now);
    auto* ordinary = next_route(state, place_of(work_class::ordinary), is_late, now);
    if (ordinary == nullptr) {
        return {urgent, place_of(work_class::urgent), is_late,
                urgent == nullptr ? 0.0 : waiting_ordinary_cost(state, is_late)};
    }
    const double cost = head_cost(*ordinary, place_of(work_class::ordinary), is_late);
    if (urgent == nullptr || fairness::ordinary_is_due(state.m_class_share, cost)) {
        return {ordinary, place_of(work_class::ordinary), is_late, 0.0};
    }
    return {urgent, place_of(work_class::urgent), is_late, cost};
}

void charge(broker& state, const lane_selection& served, double cost)
{
    auto& subject = served.m_route->m_lanes[served.m_place];
    admission::note_drained(subject.m_drain, cost);
    const auto& queue = queue_of(subject, served.m_is_late);
    subject.m_served += cost / std::max(1.0, queue.m_weight);
    if (served.m_place == place_of(work_class::ordinary)) {
        fairness::ordinary_went(state.m_class_share, cost);
    }
    else if (served.m_ordinary_cost > 0.0) {
        fairness::urgent_went(state.m_class_share, state.m_options.m_classes, cost,
                              served.m_ordinary_cost);
    }
}

/// What became of the head of a lane.
enum class head_result { blocked, left_lane, dispatched };

/// Serves the head of one lane. It is blocked if no upstream has room for it now.
head_result serve_head(broker& state, const ready_lane& next, time_point now, random_engine& random,
                       actions& result)
{
    auto& queue = queue_of(next.m_route->m_lanes[next.m_lane], next.m_is_late);
    auto& request = static_cast<pending_request&>(*fairness::front(queue));
    if (!next.m_is_late && is_late(request, now)) {
        fairness::erase(queue, request);
        enqueue(state, request, true);
        return head_result::left_lane;
    }
    if (const auto reason = refusal_if_unservable(state, request, now)) {
        refuse_request(state, request, *reason, now, random, result);
        return head_result::left_lane;
    }
    if (must_wait_as_suspect(state, request, now)) {
        const auto waits_until = request.m_waits_until;
        stop_waiting(state, request, now);
        wait_as_suspect(state, request, waits_until, now);
        return head_result::left_lane;
    }
    const auto chosen = choose(context_of(state, now), request, random);
    if (!chosen) {
        refresh_members(state.m_table, options_of(state), *next.m_route, now);
        return is_any_open(open_sets_of(request)) ? head_result::blocked : head_result::left_lane;
    }
    fairness::pop(queue, request);
    --state.m_waiting;
    start(state, request, *chosen, false, now, result);
    return head_result::dispatched;
}

/// Serves the lane of a class; returns false if nothing could be done for its head.
bool serve(broker& state, const lane_selection& next, time_point now, random_engine& random,
           actions& result)
{
    const double cost = head_cost(*next.m_route, next.m_place, next.m_is_late);
    const auto outcome =
        serve_head(state, {next.m_route, next.m_place, next.m_is_late}, now, random, result);
    if (outcome == head_result::dispatched) {
        charge(state, next, cost);
    }
    return outcome != head_result::blocked;
}

/// Serves the lanes in the order of their value to callers, as long as upstreams have room.
void serve_by_cost(broker& state, time_point now, random_engine& random, actions& result)
{
    for (;;) {
        auto ready = find_ready_lanes(state, now);
        const auto next = choose_lane(state, ready);
        if (!next) {
            return;
        }
        const auto selected = ready.m_lanes[*next];
        const auto outcome = serve_head(state, selected, now, random, result);
        if (outcome == head_result::blocked) {
            return;
        }
        if (outcome == head_result::dispatched) {
            const double work = ready.m_heads[*next].m_work;
            admission::note_drained(selected.m_route->m_drain, work);
            note_served(state, std::move(ready), *next);
        }
    }
}

void serve_retries(broker& state, route& subject, bool of_late, time_point now,
                   random_engine& random, actions& result)
{
    for (auto* request : first_of(subject.m_retries)) {
        if (is_late(*request, now) != of_late) {
            continue;
        }
        if (const auto reason = refusal_if_unservable(state, *request, now)) {
            refuse_request(state, *request, *reason, now, random, result);
            continue;
        }
        if (must_wait_as_suspect(state, *request, now)) {
            const auto waits_until = request->m_waits_until;
            stop_waiting(state, *request, now);
            wait_as_suspect(state, *request, waits_until, now);
            continue;
        }
        const auto chosen = choose(context_of(state, now), *request, random);
        if (chosen) {
            stop_waiting(state, *request, now);
            start(state, *request, *chosen, false, now, result);
        }
    }
}

/// Dispatches requests at unresponsive upstreams again, to upstreams that will answer soon. The
/// previous attempts are cancelled, but may have reached their upstreams. This terminates, since no
/// request is sent to the same upstream twice.
void redispatch_unanswered(broker& state, route& subject, time_point now, random_engine& random,
                           actions& result)
{
    for (auto* request : first_of(subject.m_unanswered)) {
        if (now >= request->m_unresponsive_until) {
            end_unresponsive(*request);
            continue;
        }
        const bool may_go =
            now >= request->m_redispatch_from &&
            standing_of(state, request->m_info, now) == quarantine::standing::clear &&
            !refusal_if_unservable(state, *request, now);
        const auto chosen =
            may_go ? choose(context_of(state, now), *request, random) : std::nullopt;
        if (!chosen || chosen->m_seconds > max_restart_wait ||
            was_tried(*request, *state.m_table.m_upstreams[chosen->m_index]) ||
            !take_repeat(state, *request, attempt_end::lost, now, random)) {
            continue;
        }
        release(state, *request, now);
        start(state, *request, *chosen, false, now, result);
    }
}

/// Serves eligible requests: those that can still meet their latency objective, or the late ones.
void serve_waiting(broker& state, bool is_late, time_point now, random_engine& random,
                   actions& result)
{
    for (std::size_t i = 0; i < state.m_table.m_routes.size(); ++i) {
        auto& subject = *state.m_table.m_routes[i];
        if (!subject.m_retries.empty()) {
            serve_retries(state, subject, is_late, now, random, result);
        }
    }
    if (state.m_options.m_overload.m_is_active) {
        return;  // the lanes of both are served together
    }
    for (auto next = select_next_lane(state, is_late, now); next.m_route != nullptr;
         next = select_next_lane(state, is_late, now)) {
        if (!serve(state, next, now, random, result)) {
            break;
        }
    }
}

void measure_drain(broker& state, time_point now)
{
    const bool is_any_closed = !state.m_table.m_closed_groups.empty() ||
                               !state.m_table.m_broken_groups.empty() ||
                               state.m_table.m_backoffs_until > now;
    for (const auto& subject : state.m_table.m_routes) {
        // A queue whose upstreams all are closed drains nothing, which says nothing of its rate.
        const bool is_served = (!is_any_closed && !state.m_options.m_overload.m_is_active) ||
                               has_serving_member(state.m_table, *subject, now);
        bool is_any_waiting = false;
        for (auto& [key, item] : subject->m_lanes) {
            is_any_waiting = is_any_waiting || is_waiting(item);
            admission::advance(item.m_drain, is_served && is_waiting(item), now);
        }
        admission::advance(subject->m_drain, is_served && is_any_waiting, now);
        if (is_any_waiting) {
            subject->m_waited_at = now;
        }
        else if (now - subject->m_waited_at > rate_lifetime) {
            subject->m_drain = {};
        }
    }
}

}  // namespace

void serve_eligible(broker& state, time_point now, random_engine& random, actions& result)
{
    for (std::size_t i = 0; i < state.m_table.m_routes.size(); ++i) {
        auto& subject = *state.m_table.m_routes[i];
        if (!subject.m_suspects.empty()) {
            serve_suspects(state, subject, now, random, result);
        }
        if (!subject.m_unanswered.empty()) {
            redispatch_unanswered(state, subject, now, random, result);
        }
    }
    // After a pause of a whole pool, or in a burst, first come, first served would make every
    // request late, since each waits for all late ones before it. Requests that can still meet
    // their latency objective are served first.
    for (const bool is_late : {false, true}) {
        serve_waiting(state, is_late, now, random, result);
        if (!is_late && state.m_options.m_overload.m_is_active) {
            serve_by_cost(state, now, random, result);
        }
    }
    measure_drain(state, now);
}

void catch_up(const broker& state, pending_request& request)
{
    auto& own = lane_of(request);
    if (is_waiting(own)) {
        return;
    }
    std::optional<double> least;
    for (const auto& other : state.m_table.m_routes) {
        const auto& subject = other->m_lanes[request.m_lane];
        if (is_waiting(subject)) {
            least = std::min(least.value_or(subject.m_served), subject.m_served);
        }
    }
    own.m_served = std::max(own.m_served, least.value_or(own.m_served));
}

}  // namespace dewbeam::dispatch
