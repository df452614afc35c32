#include "dewbeam/src/dispatch/suspects.h"

#include <algorithm>

#include "dewbeam/src/dispatch/permits.h"
#include "dewbeam/src/dispatch/request_lifecycle.h"

namespace dewbeam::dispatch {

namespace {

/// Whether the upstream that is held for a suspect is still suitable for it.
bool may_run_isolated(const broker& state, const pending_request& request, upstream_index index,
                      time_point now)
{
    const auto& upstream = *state.m_table.m_upstreams[index];
    return upstream.m_is_able && !notices::is_backing_off(upstream.m_ramp, now) &&
           (!was_tried(request, upstream) || !has_untried(state.m_table, request, now));
}

/// The upstream to hold for a suspect: an untried one if there is one, with the least load.
std::optional<upstream_index> choose_for_isolation(const broker& state,
                                                   const pending_request& request, time_point now)
{
    const bool may_repeat = !has_untried(state.m_table, request, now);
    std::optional<upstream_index> best;
    std::uint32_t best_load = 0;
    for (const auto index : request.m_route->m_members) {
        const auto& upstream = *state.m_table.m_upstreams[index];
        if (!upstream.m_is_able || notices::is_backing_off(upstream.m_ramp, now) ||
            upstream.m_runs_isolated || upstream.m_held_for != ticket{} ||
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

std::size_t count_isolated(const broker& state, const route& subject)
{
    return static_cast<std::size_t>(
        std::count_if(subject.m_members.begin(), subject.m_members.end(), [&](upstream_index i) {
            const auto& upstream = *state.m_table.m_upstreams[i];
            return upstream.m_runs_isolated || upstream.m_held_for != ticket{};
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

/// Holds an upstream for a suspect if the limit allows it.
std::optional<upstream_index> hold(broker& state, pending_request& request, time_point now)
{
    const auto& subject = *request.m_route;
    const auto limit = std::max<std::size_t>(
        1, static_cast<std::size_t>(subject.m_able * state.m_options.m_isolated_share));
    if (count_isolated(state, subject) >= limit) {
        return std::nullopt;
    }
    const auto index = choose_for_isolation(state, request, now);
    if (index) {
        state.m_table.m_upstreams[*index]->m_held_for = request.m_info.m_ticket;
        refresh(state.m_table, options_of(state), *index, now);
    }
    return index;
}

/// Moves suspects that have an exclusive grant, or are no longer suspected, to the ordinary queues.
void serve_granted_suspects(broker& state, route& subject, time_point now, random_engine& random,
                            actions& result)
{
    std::vector<pending_request*> all;  // few; one that waits must not delay other contents
    for (auto& item : subject.m_suspects) {
        all.push_back(&static_cast<pending_request&>(item));
    }
    for (auto* request : all) {
        if (const auto reason = refusal_if_unservable(state, *request, now)) {
            refuse_request(state, *request, *reason, now, random, result);
            continue;
        }
        if (must_wait_as_suspect(state, *request, now)) {
            continue;
        }
        const auto waits_until = request->m_waits_until;
        stop_waiting(state, *request, now);
        if (request->m_attempts > 0) {
            wait_for_retry(state, *request, waits_until);
        }
        else {
            wait_in_queue(state, *request, now);
        }
    }
}

}  // namespace

void serve_suspects(broker& state, route& subject, time_point now, random_engine& random,
                    actions& result)
{
    if (state.m_options.m_suspects_run_exclusively) {
        serve_granted_suspects(state, subject, now, random, result);
        return;
    }
    refresh_members(state.m_table, options_of(state), subject, now);
    for (auto* request : first_of(subject.m_suspects)) {
        if (const auto reason = refusal_if_unservable(state, *request, now)) {
            refuse_request(state, *request, *reason, now, random, result);
            continue;
        }
        auto index = held_for(state, *request);
        if (index && !may_run_isolated(state, *request, *index, now)) {
            end_hold(state, *request, now);
            index.reset();
        }
        if (!index) {
            index = hold(state, *request, now);
        }
        if (!index) {
            continue;
        }
        const auto& upstream = *state.m_table.m_upstreams[*index];
        const bool is_free = upstream.m_in_flight == 0 && !lacks_permit(upstream, now);
        if (is_free && request->m_suspect_starts_from <= now) {
            const auto prompt = static_cast<double>(request->m_info.m_prompt_tokens.m_count);
            stop_waiting(state, *request, now);
            start(state, *request, {*index, prompt, 0.0}, true, now, result);
        }
    }
}

}  // namespace dewbeam::dispatch
