#include "dewbeam/src/retry/budget.h"

#include <algorithm>
#include <utility>

namespace dewbeam::retry {

namespace {

/// Most tokens beside the retries that may still arrive.
double room(const budget& state, const budget_options& options)
{
    return std::max(0.0, options.m_burst - static_cast<double>(arriving_retries(state)));
}

void add(budget& state, const budget_options& options, double tokens)
{
    state.m_tokens = std::min(state.m_tokens + tokens, room(state, options));
}

/// Adds what has come with time alone, and frees the places of retries that can't arrive any more.
void refill(budget& state, const budget_options& options, time_point now)
{
    while (!state.m_late_until.empty() && state.m_late_until.front() <= now) {
        state.m_late_until.pop_front();
    }
    const auto since = std::exchange(state.m_filled_at, now);
    if (since != time_point{} && since < now) {
        add(state, options,
            options.m_burst * to_seconds(now - since) / to_seconds(idle_refill_time));
    }
}

}  // namespace

budget make_budget(const budget_options& options)
{
    budget result;
    result.m_tokens = std::min(options.m_initial, options.m_burst);
    return result;
}

void limit(budget& state, const budget_options& options)
{
    add(state, options, 0.0);
}

void count_first_try(budget& state, const budget_options& options, time_point now)
{
    refill(state, options, now);
    ++state.m_first_tries;
    add(state, options, options.m_share);
}

bool take_retry(budget& state, const budget_options& options, time_point now, random_engine& random)
{
    refill(state, options, now);
    if (options.m_burst < 1.0) {
        const auto held = std::exchange(state.m_tokens, std::min(state.m_tokens, 0.0));
        if (uniform_unit(random) >= held) {
            return false;
        }
    }
    else if (state.m_tokens < 1.0) {
        return false;
    }
    else {
        state.m_tokens -= 1.0;
    }
    ++state.m_under_way;
    ++state.m_retries;
    return true;
}

void settle_retry(budget& state)
{
    require(state.m_under_way > 0, "settle_retry needs a retry that was taken");
    --state.m_under_way;
}

void give_up_retry(budget& state, time_point now)
{
    settle_retry(state);
    state.m_late_until.push_back(now + late_arrival_limit);
}

std::size_t arriving_retries(const budget& state)
{
    return state.m_under_way + state.m_late_until.size();
}

bool borrow_retry(budget& state, const budget_options& options)
{
    if (state.m_tokens < 1.0 - options.m_burst) {
        return false;
    }
    state.m_tokens -= 1.0;
    ++state.m_retries;
    return true;
}

bool is_never_begun(attempt_end end)
{
    return end == attempt_end::not_run || end == attempt_end::not_reached ||
           end == attempt_end::refused_busy;
}

bool may_still_arrive(attempt_end end)
{
    return end == attempt_end::unanswered || end == attempt_end::cancelled;
}

bool is_safe_to_retry(attempt_end end, bool is_idempotent)
{
    if (end == attempt_end::completed || end == attempt_end::cancelled) {
        return false;
    }
    return is_idempotent || is_never_begun(end);
}

}  // namespace dewbeam::retry
