#include "dewbeam/src/permits/issuer.h"

#include <algorithm>

namespace dewbeam::permits {

namespace {

/// Unused permits accumulate for at most this long, which bounds bursts.
constexpr double burst_seconds = 0.25;
/// Several times the interval at which gateways repeat their demands.
constexpr time_span demand_lifetime = std::chrono::seconds(1);

void refill(permit_queue& queue, double rate, time_point now)
{
    const double most = std::max(1.0, rate * burst_seconds);
    queue.m_available =
        std::min(most, queue.m_available + rate * to_seconds(now - queue.m_refilled_at));
    queue.m_refilled_at = now;
}

grant& grant_of(std::vector<grant>& grants, const holder_id& holder, const rate_limit& limit)
{
    const auto place = std::find_if(grants.begin(), grants.end(), [&](const grant& item) {
        return item.m_holder == holder && item.m_upstream == limit.m_upstream;
    });
    if (place != grants.end()) {
        return *place;
    }
    return grants.emplace_back(grant{holder, limit.m_upstream, limit.m_incarnation, 0});
}

void serve(permit_queue& queue, const rate_limit& limit, std::vector<grant>& grants)
{
    while (queue.m_available >= 1.0 && !queue.m_demands.empty()) {
        auto next = queue.m_demands.front();
        queue.m_demands.pop_front();
        queue.m_available -= 1.0;
        ++grant_of(grants, next.m_holder, limit).m_count;
        if (--next.m_count > 0) {
            queue.m_demands.push_back(std::move(next));
        }
    }
}

}  // namespace

void set_demand(issuer& state, const holder_id& holder, const demand& wanted, time_point now)
{
    const auto limit = state.m_limits.m_limits.find(wanted.m_upstream);
    if (limit == state.m_limits.m_limits.end() || !limit->second.m_per_second) {
        return;
    }
    const auto [queue, is_new] = state.m_queues.try_emplace(wanted.m_upstream);
    if (is_new) {
        queue->second.m_refilled_at = now;
    }
    auto& demands = queue->second.m_demands;
    const auto place = std::find_if(demands.begin(), demands.end(), [&](const queued_demand& item) {
        return item.m_holder == holder;
    });
    if (place != demands.end()) {
        place->m_count = wanted.m_count;
        place->m_deadline = now + demand_lifetime;
    }
    else if (wanted.m_count > 0) {
        demands.push_back({holder, wanted.m_count, now + demand_lifetime});
    }
}

std::vector<grant> issue(issuer& state, time_point now)
{
    std::vector<grant> result;
    forget_old(state.m_limits, now);
    std::erase_if(state.m_queues, [&](const auto& item) {
        const auto limit = state.m_limits.m_limits.find(item.first);
        return limit == state.m_limits.m_limits.end() || !limit->second.m_per_second;
    });
    for (auto& [upstream, queue] : state.m_queues) {
        const auto& limit = state.m_limits.m_limits.at(upstream);
        std::erase_if(queue.m_demands, [&](const queued_demand& item) {
            return item.m_deadline <= now || item.m_count == 0;
        });
        refill(queue, usable_rate(*limit.m_per_second), now);
        serve(queue, limit, result);
    }
    return result;
}

bool take_own_share(own_share& state, double per_second, std::uint32_t gateways, time_point now,
                    random_engine& random)
{
    const auto interval = std::chrono::duration_cast<time_span>(
        std::chrono::duration<double>(std::max(1U, gateways) / usable_rate(per_second)));
    if (state.m_next_at == time_point{}) {
        const auto part = uniform_below(random, static_cast<std::uint64_t>(interval.count()) + 1);
        state.m_next_at = now + time_span(static_cast<time_span::rep>(part));
    }
    if (state.m_next_at > now) {
        return false;
    }
    state.m_next_at = now + interval;
    return true;
}

}  // namespace dewbeam::permits
