#include "dewbeam/src/retry/budget.h"

#include <algorithm>

namespace dewbeam::retry {

void count_first_try(budget& state, const budget_options& options)
{
    ++state.m_first_tries;
    state.m_tokens = std::min(state.m_tokens + options.m_share, options.m_burst);
}

bool take_retry(budget& state)
{
    if (state.m_tokens < 1.0) {
        return false;
    }
    state.m_tokens -= 1.0;
    ++state.m_retries;
    return true;
}

bool is_safe_to_retry(attempt_end end, bool is_idempotent)
{
    switch (end) {
        case attempt_end::not_run:
        case attempt_end::refused_busy:
            return true;
        case attempt_end::unknown:
        case attempt_end::upstream_died:
            return is_idempotent;
        case attempt_end::completed:
        case attempt_end::cancelled:
            break;
    }
    return false;
}

}  // namespace dewbeam::retry
