#include "dewbeam/src/dispatch/health.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::dispatch {

namespace {

constexpr double time_gain = 0.2;
/// Times vary by request; a ratio below this is not attributed to the upstream.
constexpr double min_ratio = 1.8;
/// Seconds after which a measured ratio's excess over 1 has decayed to about a third.
constexpr double ratio_lifetime = 2.0;
constexpr double largest_ratio = 10.0;

void decay(health& state, const health_options& options, time_point now)
{
    const double passed = to_seconds(now - state.m_counted_at) / to_seconds(options.m_half_life);
    const double factor = std::exp2(-std::max(0.0, passed));
    state.m_results *= factor;
    state.m_failures *= factor;
    state.m_counted_at = now;
}

}  // namespace

void note_success(health& state, const health_options& options, time_point now)
{
    decay(state, options, now);
    state.m_results += 1.0;
    state.m_in_a_row = 0;
    state.m_pauses = 0;
}

bool note_failure(health& state, const health_options& options, upstream_result how, time_point now)
{
    decay(state, options, now);
    state.m_results += 1.0;
    state.m_failures += 1.0;
    ++state.m_in_a_row;
    if (state.m_closed_until > now) {
        return false;
    }
    const bool is_bad_share = state.m_results >= options.m_min_results &&
                              state.m_failures > options.m_max_failure_share * state.m_results;
    const bool is_certain = how == upstream_result::unreachable;
    if (state.m_in_a_row < options.m_max_consecutive && !is_bad_share && !is_certain) {
        return false;
    }
    constexpr std::uint32_t most_doublings = 8;
    const auto pause = options.m_first_pause * (1U << std::min(state.m_pauses, most_doublings));
    state.m_closed_until = now + std::min<time_span>(pause, options.m_longest_pause);
    ++state.m_pauses;
    // After the pause a single failure closes it again.
    state.m_in_a_row = options.m_max_consecutive - 1;
    return true;
}

void note_first_token_time(slowness& state, double value, time_point now)
{
    state.m_noted_at = now;
    auto& mean = state.m_seconds;
    mean = mean == 0.0 ? value : mean + time_gain * (value - mean);
}

relative_slowness relative_slowness_of(const slowness& state, const slowness& pool, time_point now)
{
    if (state.m_seconds <= 0.0 || pool.m_seconds <= 0.0) {
        return {};
    }
    const double ratio = state.m_seconds / pool.m_seconds;
    if (ratio < min_ratio) {
        return {};
    }
    const double age = std::max(0.0, to_seconds(now - state.m_noted_at));
    const double weight = std::exp(-age / ratio_lifetime);
    return {1.0 + (std::min(ratio, largest_ratio) - 1.0) * weight,
            (state.m_seconds - pool.m_seconds) * weight};
}

}  // namespace dewbeam::dispatch
