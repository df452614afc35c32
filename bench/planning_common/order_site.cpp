#include "bench/planning_common/order_site.h"

#include <algorithm>

namespace dewbeam::bench {

namespace {

using namespace std::chrono_literals;

}  // namespace

order_site::order_site(std::vector<orders::observed_upstream> upstreams, time_span load_time,
                       std::uint64_t seed)
    : m_load_time(load_time), m_random(seed)
{
    for (auto& item : upstreams) {
        m_upstreams.push_back({std::move(item), {}, {}, {}, 0});
    }
}

bool order_site::happens(std::uint64_t percent)
{
    return uniform_below(m_random, 100) < percent;
}

void order_site::begin(upstream& item, const orders::order& order, time_point now)
{
    auto& state = item.m_state;
    const bool is_stale = state.m_checks_fencing && order.m_number <= state.m_highest_number;
    if (is_stale || now >= order.m_deadline) {
        return;
    }
    if (state.m_checks_fencing) {
        state.m_highest_number = order.m_number;
    }
    m_has_overlapped = m_has_overlapped || !item.m_running.empty();
    item.m_running.push_back(order);
    item.m_done_at = now + (order.m_load.empty() ? 1s : m_load_time);
    item.m_loads += order.m_load.empty() ? 0 : 1;
    if (order.m_drops_first) {
        for (const auto& dropped : order.m_drop) {
            std::erase(state.m_contents.m_artifacts, dropped);
        }
    }
}

void order_site::finish(orders::planner& state, upstream& item, time_point now)
{
    const auto order = item.m_running.back();
    item.m_running.clear();
    item.m_state.m_contents = order.m_wanted;
    if (happens(m_faults.m_lost_answers)) {
        orders::answer_lost(state, order.m_upstream, order.m_number, now);
    }
    else {
        orders::order_answered(state, order.m_upstream, order.m_number, now);
    }
}

void order_site::advance(orders::planner& state, time_point now)
{
    for (auto& item : m_upstreams) {
        for (const auto& late : item.m_arriving) {
            if (now >= late.m_at) {
                begin(item, late.m_order, now);
            }
        }
        std::erase_if(item.m_arriving, [now](const arriving& late) { return now >= late.m_at; });
        if (!item.m_running.empty() && now >= item.m_done_at) {
            finish(state, item, now);
        }
    }
}

void order_site::take(orders::planner& state, const orders::plan_step& step, time_point now)
{
    for (auto& item : m_upstreams) {
        for (const auto& read : step.m_reads) {
            if (read.m_upstream == item.m_state.m_name && item.m_state.m_checks_fencing) {
                item.m_state.m_highest_number =
                    std::max(item.m_state.m_highest_number, read.m_number);
            }
        }
        for (const auto& order : step.m_orders) {
            if (order.m_upstream != item.m_state.m_name) {
                continue;
            }
            if (happens(m_faults.m_lost_orders)) {
                orders::answer_lost(state, order.m_upstream, order.m_number, now);
                continue;
            }
            if (happens(m_faults.m_late_orders)) {
                orders::answer_lost(state, order.m_upstream, order.m_number, now);
                item.m_arriving.push_back({order, now + 5s});
                continue;
            }
            begin(item, order, now);
        }
    }
}

std::vector<orders::observed_upstream> order_site::observe(time_point now) const
{
    std::vector<orders::observed_upstream> all;
    for (const auto& item : m_upstreams) {
        all.push_back(item.m_state);
        all.back().m_read_at = now;
        all.back().m_is_busy = !item.m_running.empty();
    }
    return all;
}

std::size_t order_site::able(const failure_domain_id& domain, const std::string& model) const
{
    std::size_t count = 0;
    for (const auto& item : m_upstreams) {
        const bool holds = item.m_state.m_failure_domain == domain &&
                           orders::holds_model(item.m_state.m_contents, model);
        count += holds ? 1 : 0;
    }
    return count;
}

std::size_t order_site::running_loads() const
{
    std::size_t count = 0;
    for (const auto& item : m_upstreams) {
        for (const auto& order : item.m_running) {
            count += order.m_load.empty() ? 0 : 1;
        }
    }
    return count;
}

std::size_t order_site::most_loads_of_one() const
{
    std::size_t most = 0;
    for (const auto& item : m_upstreams) {
        most = std::max(most, item.m_loads);
    }
    return most;
}

std::size_t order_site::all_loads() const
{
    std::size_t sum = 0;
    for (const auto& item : m_upstreams) {
        sum += item.m_loads;
    }
    return sum;
}

bool order_site::is_idle() const
{
    return std::all_of(m_upstreams.begin(), m_upstreams.end(), [](const upstream& item) {
        return item.m_running.empty() && item.m_arriving.empty();
    });
}

}  // namespace dewbeam::bench
