#include "dewbeam/src/notices/return_ramp.h"

#include <algorithm>

namespace dewbeam::notices {

namespace {

constexpr std::uint32_t credits_per_answer = 2;

time_span longest_delay(const return_facts& facts, time_span backoff)
{
    const double rounds =
        static_cast<double>(facts.m_gateways) / static_cast<double>(std::max(1U, facts.m_slots));
    const auto span = std::chrono::duration_cast<time_span>(return_interval * rounds);
    return std::min(span, backoff);
}

}  // namespace

void begin_backoff(return_ramp& state, time_point until, const return_facts& facts, time_point now,
                   random_engine& random)
{
    if (until <= state.m_backoff_until) {
        return;
    }
    if (!is_backing_off(state, now)) {
        state.m_place = uniform_unit(random);
    }
    state.m_backoff_until = until;
    const auto delay = longest_delay(facts, until - now) * state.m_place;
    state.m_opens_at =
        std::max(state.m_opens_at, until + std::chrono::duration_cast<time_span>(delay));
    state.m_credits = 1;
}

void note_sent(return_ramp& state)
{
    if (state.m_credits && *state.m_credits > 0) {
        --*state.m_credits;
    }
}

void note_answered(return_ramp& state, time_point sent_at, std::uint32_t slots)
{
    if (!state.m_credits || sent_at < state.m_opens_at) {
        return;
    }
    *state.m_credits += credits_per_answer;
    if (*state.m_credits >= slots) {
        state.m_credits.reset();
    }
}

void note_unanswered(return_ramp& state, time_point sent_at)
{
    if (state.m_credits && sent_at >= state.m_opens_at) {
        ++*state.m_credits;
    }
}

}  // namespace dewbeam::notices
