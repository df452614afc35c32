#include "dewbeam/src/dispatch/broker.h"

#include <algorithm>

namespace dewbeam::dispatch {

namespace {

constexpr std::uint32_t most_attempts = 3;
constexpr time_span retry_pause = std::chrono::seconds(1);

bool is_eligible(const upstream_state& upstream, const pending_request& request, time_point now)
{
    const auto& info = upstream.m_info;
    const auto& tried = request.m_tried;
    return !info.m_leaving && info.m_lease_deadline > now &&
           std::find(tried.begin(), tried.end(), info.m_name) == tried.end() &&
           configuration::matches(request.m_info.m_upstreams, info.m_labels);
}

bool has_room(const upstream_state& upstream)
{
    return upstream.m_in_flight < upstream.m_info.m_slots;
}

action refuse(ticket request, refusal reason, time_point now)
{
    action result;
    result.m_kind = action::kind::refuse;
    result.m_ticket = request;
    result.m_refusal = reason;
    result.m_retry_at = now + retry_pause;
    return result;
}

upstream_state* choose(broker& state, const pending_request& request, time_point now)
{
    upstream_state* best = nullptr;
    for (auto& [name, upstream] : state.m_upstreams) {
        if (!is_eligible(upstream, request, now) || !has_room(upstream)) {
            continue;
        }
        if (best == nullptr || upstream.m_in_flight < best->m_in_flight) {
            best = &upstream;
        }
    }
    return best;
}

bool has_eligible(const broker& state, const pending_request& request, time_point now)
{
    return std::any_of(state.m_upstreams.begin(), state.m_upstreams.end(),
                       [&](const auto& item) { return is_eligible(item.second, request, now); });
}

action start(pending_request& request, upstream_state& upstream)
{
    ++upstream.m_in_flight;
    ++request.m_attempts;
    request.m_running_on = upstream.m_info.m_name;
    request.m_tried.push_back(upstream.m_info.m_name);
    action result;
    result.m_ticket = request.m_info.m_ticket;
    result.m_upstream = upstream.m_info.m_name;
    result.m_incarnation = upstream.m_info.m_incarnation;
    return result;
}

/// Takes from the queue what can go, and refuses what can't any more.
actions pump(broker& state, time_point now)
{
    actions result;
    std::vector<ticket> waiting;
    for (const auto id : state.m_queue) {
        auto& request = state.m_requests.at(id);
        auto* upstream = choose(state, request, now);
        if (upstream != nullptr) {
            result.push_back(start(request, *upstream));
        }
        else if (request.m_info.m_deadline <= now || !has_eligible(state, request, now)) {
            const auto reason = request.m_info.m_deadline <= now ? refusal::deadline_passed
                                                                 : refusal::no_able_upstream;
            result.push_back(refuse(id, reason, now));
            state.m_requests.erase(id);
        }
        else {
            waiting.push_back(id);
        }
    }
    state.m_queue = std::move(waiting);
    return result;
}

void release(broker& state, pending_request& request)
{
    if (!request.m_running_on) {
        return;
    }
    const auto place = state.m_upstreams.find(*request.m_running_on);
    if (place != state.m_upstreams.end() && place->second.m_in_flight > 0) {
        --place->second.m_in_flight;
    }
    request.m_running_on.reset();
}

bool may_retry(const pending_request& request, attempt_end end)
{
    const bool is_safe = end == attempt_end::not_run || request.m_info.m_idempotent;
    return is_safe && request.m_attempts < most_attempts;
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

actions submit(broker& state, request_info info, time_point now, random_engine& /*random*/)
{
    const auto id = info.m_ticket;
    if (state.m_queue.size() >= state.m_options.m_most_queued) {
        return {refuse(id, refusal::overloaded, now)};
    }
    pending_request request;
    request.m_info = std::move(info);
    const bool is_new = state.m_requests.emplace(id, std::move(request)).second;
    require(is_new, "submit needs a ticket that is not in the broker");
    state.m_queue.push_back(id);
    return pump(state, now);
}

void first_token(broker& /*state*/, ticket /*request*/, time_point /*now*/) {}

actions attempt_ended(broker& state, ticket request, attempt_end end, time_point now,
                      random_engine& /*random*/)
{
    const auto place = state.m_requests.find(request);
    if (place == state.m_requests.end()) {
        return {};
    }
    auto& pending = place->second;
    release(state, pending);
    actions result;
    if (end == attempt_end::completed || end == attempt_end::cancelled) {
        state.m_requests.erase(place);
    }
    else if (may_retry(pending, end)) {
        state.m_queue.insert(state.m_queue.begin(), request);
    }
    else {
        const auto reason =
            end == attempt_end::not_run ? refusal::retries_exhausted : refusal::maybe_run;
        result.push_back(refuse(request, reason, now));
        state.m_requests.erase(place);
    }
    const auto more = pump(state, now);
    result.insert(result.end(), more.begin(), more.end());
    return result;
}

actions cancel(broker& state, ticket request, time_point now, random_engine& random)
{
    std::erase(state.m_queue, request);
    return attempt_ended(state, request, attempt_end::cancelled, now, random);
}

actions update_upstream(broker& state, const upstream_info& info, time_point now,
                        random_engine& /*random*/)
{
    state.m_upstreams[info.m_name].m_info = info;
    return pump(state, now);
}

actions remove_upstream(broker& state, const upstream_id& name, time_point now,
                        random_engine& /*random*/)
{
    state.m_upstreams.erase(name);
    return pump(state, now);
}

actions tick(broker& state, time_point now, random_engine& /*random*/)
{
    return pump(state, now);
}

}  // namespace dewbeam::dispatch
