#include "dewbeam/src/dispatch/serve_by_cost.h"

#include <algorithm>

#include "dewbeam/src/dispatch/request_lifecycle.h"

namespace dewbeam::dispatch {

namespace {

/// A late request is due this long before its wait ends. Several times what a free slot takes to
/// come in a pool of tens of upstreams, so that those that are due together all find one.
constexpr time_span due_margin = std::chrono::milliseconds(600);
/// How often waiting requests are checked: often against the seconds that callers wait.
constexpr time_span shedding_interval = std::chrono::milliseconds(100);

overload::standing standing_of(const pending_request& head, bool is_late, time_point now)
{
    if (!is_late) {
        return overload::standing::in_time;
    }
    return head.m_waits_until <= now + due_margin ? overload::standing::due
                                                  : overload::standing::late;
}

overload::candidate candidate_of(fairness::fair_queue& queue, lane_key priority, bool is_late,
                                 time_point now)
{
    const auto& head = static_cast<const pending_request&>(*fairness::front(queue));
    overload::candidate result;
    result.m_priority = priority;
    result.m_standing = standing_of(head, is_late, now);
    result.m_work = head.m_cost;
    result.m_relative_work = queue.m_mean_cost > 0.0 ? head.m_cost / queue.m_mean_cost : 1.0;
    result.m_deadline = is_late ? head.m_waits_until : head.m_info.m_prompt_deadline;
    return result;
}

/// Sums over the lanes of higher priority than `key`. Their late requests go after what can be in
/// time, until they are due.
overload::backlog backlog_before(const broker& state, const route& subject, lane_key key,
                                 time_point now)
{
    overload::backlog result;
    result.m_drain_rate = subject.m_drain.m_rate;
    result.m_least_share = state.m_options.m_overload.m_ranking.m_floor;
    for (const auto& [other, item] : subject.m_lanes) {
        if (other < key) {
            result.m_ahead += item.m_queue.m_backlog;
            result.m_arrival_rate += overload::arrival_rate(item.m_arrivals, now);
        }
    }
    return result;
}

/// The lanes of highest priority that together bring at most half of the work may send prompts
/// ahead of the pace of a group: the other half is enough to make up for them.
void mark_urgent_lanes(route& subject, time_point now)
{
    double total = 0.0;
    for (const auto& [key, item] : subject.m_lanes) {
        total += overload::arrival_rate(item.m_arrivals, now);
    }
    double sum = 0.0;
    for (auto& [key, item] : subject.m_lanes) {
        sum += overload::arrival_rate(item.m_arrivals, now);
        item.m_is_urgent = sum <= total / 2.0;
    }
}

/// Finds the requests of one queue that `before` delays too long. Flows take turns by weight, so
/// an item waits for its flow's share of the whole queue.
void find_hopeless(fairness::fair_queue& queue, overload::backlog before, time_point now,
                   std::vector<pending_request*>& found)
{
    for (auto& flow : queue.m_turns) {
        const double share = flow.m_weight / std::max(queue.m_weight, flow.m_weight);
        double own = 0.0;
        for (auto& item : flow.m_items) {
            before.m_own = std::min(own / share, queue.m_backlog);
            before.m_work = item.m_cost;
            auto& request = static_cast<pending_request&>(item);
            if (overload::must_shed(before, request.m_waits_until, now)) {
                found.push_back(&request);
                continue;
            }
            own += item.m_cost;
        }
    }
}

}  // namespace

ready_lanes find_ready_lanes(broker& state, time_point now)
{
    ready_lanes result;
    for (const auto& subject : state.m_table.m_routes) {
        const bool refuses = is_unservable(state, *subject, now);
        for (auto& [key, item] : subject->m_lanes) {
            std::vector<ready_lane> lanes;
            std::vector<overload::candidate> heads;
            bool may_advance = item.m_is_urgent;
            for (const bool is_late : {false, true}) {
                auto& queue = queue_of(item, is_late);
                if (queue.m_size > 0) {
                    lanes.push_back({subject.get(), key, is_late});
                    heads.push_back(candidate_of(queue, key, is_late, now));
                    // Urgent lanes could use up all of the pace.
                    may_advance =
                        may_advance || overload::is_floor_due(state.m_floor_credits, heads.back());
                }
            }
            // The same for both queues of a lane: its requests look up where there is room by it.
            item.m_open_place = may_advance ? 0 : 1;
            const bool is_open = refuses || is_any_open(subject->m_open[item.m_open_place]);
            auto& into = is_open ? result.m_heads : result.m_closed_heads;
            into.insert(into.end(), heads.begin(), heads.end());
            if (is_open) {
                result.m_lanes.insert(result.m_lanes.end(), lanes.begin(), lanes.end());
            }
        }
    }
    return result;
}

std::optional<std::size_t> choose_lane(const broker& state, const ready_lanes& ready)
{
    if (ready.m_heads.empty()) {
        return std::nullopt;
    }
    return overload::choose(state.m_options.m_overload.m_ranking, state.m_floor_credits,
                            ready.m_heads);
}

void note_served(broker& state, ready_lanes ready, std::size_t served)
{
    ready.m_heads.insert(ready.m_heads.end(), ready.m_closed_heads.begin(),
                         ready.m_closed_heads.end());
    overload::note_served(state.m_options.m_overload.m_ranking, state.m_floor_credits,
                          ready.m_heads, served);
}

void note_arrival(pending_request& request, time_point now)
{
    overload::note_arrival(lane_of(request).m_arrivals, request.m_cost, now);
}

overload::backlog backlog_of(const broker& state, const pending_request& request, time_point now)
{
    auto result = backlog_before(state, *request.m_route, request.m_lane, now);
    result.m_work = request.m_cost;
    const auto& queue = lane_of(request).m_queue;
    const auto* own = fairness::find_flow(queue, request.m_info.m_workspace);
    if (own != nullptr) {
        result.m_own = std::min(own->m_backlog * queue.m_weight / own->m_weight, queue.m_backlog);
    }
    return result;
}

void shed_late_requests(broker& state, time_point now, random_engine& random, actions& result)
{
    if (now < state.m_next_shedding) {
        return;
    }
    state.m_next_shedding = now + shedding_interval;
    std::vector<pending_request*> found;
    for (const auto& subject : state.m_table.m_routes) {
        mark_urgent_lanes(*subject, now);
        for (auto& [key, item] : subject->m_lanes) {
            const auto before = backlog_before(state, *subject, key, now);
            find_hopeless(item.m_queue, before, now, found);
            find_hopeless(item.m_late, before, now, found);
        }
    }
    for (auto* request : found) {
        refuse_request(state, *request, refusal::overloaded, now, random, result);
    }
}

}  // namespace dewbeam::dispatch
