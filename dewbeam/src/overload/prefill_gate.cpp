#include "dewbeam/src/overload/prefill_gate.h"

#include <algorithm>
#include <cmath>

#include "dewbeam/src/overload/pause.h"

namespace dewbeam::overload {

namespace {

/// Shares of the pause objective: prompts are paced while passes take more than the first, and none
/// is sent while they take more than the second. A change of expert demand lengthens a full pass by
/// about half, so that passes must end well before the objective to keep it then, too.
constexpr double paced_above = 0.5;
constexpr double closed_above = 0.78;
/// The pace rises while passes take less than this share of the objective, and falls beyond it.
constexpr double target_share = 0.6;
/// Relative change of the pace per pass and share of the objective that it misses the target by.
constexpr double pace_gain = 0.2;
/// Time constant in seconds of the measured rate of prompts, with which pacing begins.
constexpr double rate_lifetime = 2.0;
/// Least pace in prompts per second: an idle gateway isn't kept from its first prompt for long.
constexpr double least_pace = 0.5;
/// Most prompts saved up, so that gateways don't all send several in one pass.
constexpr double most_credit = 1.5;

double share_of(time_span length, time_span objective)
{
    return to_seconds(length) / to_seconds(objective);
}

double decayed_rate(const prefill_gate& gate, time_point now)
{
    return gate.m_pace * std::exp(-to_seconds(now - gate.m_measured_at) / rate_lifetime);
}

bool is_paced(const prefill_gate& gate, time_point now)
{
    return gate.m_paced_until > now;
}

/// Begins to pace at the measured rate, or adapts the pace.
void adapt_pace(prefill_gate& gate, double share, time_point now)
{
    if (!is_paced(gate, now)) {
        gate.m_pace = decayed_rate(gate, now);
    }
    else if (share < closed_above) {
        gate.m_pace *= 1.0 + pace_gain * (target_share - share);
    }
    gate.m_pace = std::max(gate.m_pace, least_pace);
}

}  // namespace

void note_pass(prefill_gate& gate, time_span length, time_span objective, time_point now)
{
    if (!shows_load(length, objective) || now - gate.m_pass_end < length / 2) {
        return;
    }
    gate.m_pass_end = now;
    const double share = share_of(length, objective);
    if (share <= paced_above) {
        if (is_paced(gate, now)) {
            gate.m_paced_until = now;
            gate.m_measured_at = now;
        }
        return;
    }
    adapt_pace(gate, share, now);
    // Without a further event, as after the last stream, nothing shows that passes are long.
    gate.m_paced_until = now + 2 * objective;
    const double prompts = gate.m_pace * to_seconds(length) * pace_share(length, objective);
    gate.m_credit = std::min(gate.m_credit + prompts, most_credit);
}

void note_prompt(prefill_gate& gate, time_point now)
{
    if (is_paced(gate, now)) {
        gate.m_credit -= 1.0;
        return;
    }
    gate.m_pace = decayed_rate(gate, now) + 1.0 / rate_lifetime;
    gate.m_measured_at = now;
}

bool is_open(const prefill_gate& gate, double advance, time_point now)
{
    return !is_paced(gate, now) || gate.m_credit + advance >= 1.0;
}

std::optional<double> pace_of(const prefill_gate& gate, time_point now)
{
    return is_paced(gate, now) ? std::optional(gate.m_pace) : std::nullopt;
}

double pace_share(time_span length, time_span objective)
{
    const double share = share_of(length, objective);
    return std::clamp((closed_above - share) / (closed_above - paced_above), 0.0, 1.0);
}

}  // namespace dewbeam::overload
