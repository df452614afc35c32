#include "dewbeam/src/retry/budget.h"

#include <algorithm>
#include <utility>

namespace dewbeam::retry {

budget make_budget(const budget_options& options)
{
    budget result;
    result.m_tokens = std::min(options.m_first, options.m_burst);
    return result;
}

void limit(budget& state, const budget_options& options)
{
    state.m_tokens = std::min(state.m_tokens, options.m_burst);
}

void count_first_try(budget& state, const budget_options& options)
{
    ++state.m_first_tries;
    state.m_tokens = std::min(state.m_tokens + options.m_share, options.m_burst);
}

bool take_retry(budget& state, const budget_options& options, random_engine& random)
{
    if (options.m_burst < 1.0) {
        const auto held = std::exchange(state.m_tokens, std::min(state.m_tokens, 0.0));
        const bool is_taken = uniform_unit(random) < held;
        state.m_retries += is_taken ? 1 : 0;
        return is_taken;
    }
    if (state.m_tokens < 1.0) {
        return false;
    }
    state.m_tokens -= 1.0;
    ++state.m_retries;
    return true;
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

bool is_safe_to_retry(attempt_end end, bool is_idempotent)
{
    if (end == attempt_end::completed || end == attempt_end::cancelled) {
        return false;
    }
    return is_idempotent || is_never_begun(end);
}

}  // namespace dewbeam::retry
