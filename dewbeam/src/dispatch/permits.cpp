#include "dewbeam/src/dispatch/permits.h"

#include <algorithm>

#include "dewbeam/permits"
#include "dewbeam/src/dispatch/request_lifecycle.h"
#include "dewbeam/src/dispatch/serve.h"

namespace dewbeam::dispatch {

namespace {

/// One permit stays requested for this long after a request, so that the next one need not wait.
constexpr time_span demand_span = std::chrono::seconds(1);
constexpr std::size_t max_requested = 4;

std::size_t waiting_for(const route& subject)
{
    std::size_t result = subject.m_retries.size();
    for (const auto& [key, item] : subject.m_lanes) {
        result += item.m_queue.m_size + item.m_late.m_size;
    }
    return result;
}

std::size_t permits_of(const upstream_state& upstream, time_point now)
{
    const auto& held = upstream.m_permits;
    return static_cast<std::size_t>(std::count_if(
        held.begin(), held.end(), [&](time_point deadline) { return deadline > now; }));
}

/// Permits that the waiting requests of the upstream's routes could use, up to `max_requested`.
std::size_t demand_of(const broker& state, const upstream_state& upstream, time_point now)
{
    std::size_t result = state.m_last_submit + demand_span > now ? 1 : 0;
    for (const auto* subject : upstream.m_routes) {
        result = std::max(result, waiting_for(*subject));
    }
    return std::min(result, max_requested);
}

}  // namespace

bool lacks_permit(const upstream_state& upstream, time_point now)
{
    return upstream.m_info.m_rate_limit && permits_of(upstream, now) == 0;
}

void use_permit(upstream_state& upstream, time_point now)
{
    auto& held = upstream.m_permits;
    std::erase_if(held, [&](time_point deadline) { return deadline <= now; });
    if (!held.empty()) {
        held.erase(held.begin());
    }
}

time_span min_permit_wait(const broker& state, const route& subject, time_point now)
{
    double rate = 0.0;
    std::size_t held = 0;
    for (const auto index : subject.m_members) {
        const auto& upstream = *state.m_table.m_upstreams[index];
        if (!upstream.m_is_able || notices::is_backing_off(upstream.m_ramp, now)) {
            continue;
        }
        if (!upstream.m_info.m_rate_limit) {
            return time_span::zero();
        }
        rate += permits::usable_rate(*upstream.m_info.m_rate_limit);
        held += permits_of(upstream, now);
    }
    const auto waiting = waiting_for(subject);
    if (rate == 0.0 || waiting <= held) {
        return time_span::zero();
    }
    const auto seconds = static_cast<double>(waiting - held) / rate;
    return std::chrono::duration_cast<time_span>(std::chrono::duration<double>(seconds));
}

actions add_permits(broker& state, const upstream_id& name, std::uint32_t count,
                    time_point deadline, time_point now, random_engine& random)
{
    actions result;
    const auto index = find_upstream(state.m_table, name);
    if (!index || !state.m_table.m_upstreams[*index]->m_info.m_rate_limit) {
        return result;
    }
    auto& held = state.m_table.m_upstreams[*index]->m_permits;
    std::erase_if(held, [&](time_point known) { return known <= now; });
    held.insert(std::upper_bound(held.begin(), held.end(), deadline), count, deadline);
    refresh(state.m_table, options_of(state), *index, now);
    serve_eligible(state, now, random, result);
    return result;
}

std::vector<permits::demand> wanted_permits(const broker& state, time_point now)
{
    std::vector<permits::demand> result;
    for (const auto& [name, index] : state.m_table.m_names) {
        const auto& upstream = *state.m_table.m_upstreams[index];
        if (!upstream.m_info.m_rate_limit || !upstream.m_is_able ||
            notices::is_backing_off(upstream.m_ramp, now)) {
            continue;
        }
        const auto demand = demand_of(state, upstream, now);
        const auto held = permits_of(upstream, now);
        const auto count = static_cast<std::uint32_t>(demand - std::min(demand, held));
        result.push_back({name, count});
    }
    return result;
}

}  // namespace dewbeam::dispatch
