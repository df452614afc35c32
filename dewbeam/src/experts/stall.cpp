#include "dewbeam/src/experts/stall.h"

#include <algorithm>

namespace dewbeam::experts {

namespace {

constexpr double ratio_smoothing = 0.4;
constexpr double speed_smoothing = 0.1;

double ratio_of(time_span measured, time_span predicted)
{
    const auto least = std::max<time_span::rep>(1, predicted.count());
    return static_cast<double>(measured.count()) / static_cast<double>(least);
}

double median(std::vector<double> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Whether the group has work and makes no steps.
bool is_silent(const stall_detector& state, time_point now)
{
    return state.m_is_busy && now - state.m_last_step >= state.m_options.m_silence;
}

/// How long a still group without work is left alone.
time_span pause_of(const stall_detector& state)
{
    const auto longest = state.m_options.m_longest_pause;
    auto pause = state.m_options.m_shortest_pause;
    for (std::uint32_t stall = 1; stall < state.m_stalls && pause < longest; ++stall) {
        pause *= 2;
    }
    return std::min(pause, longest);
}

bool is_slow(const rank_health& rank)
{
    return rank.m_slow_since != no_deadline;
}

bool is_lasting(const stall_detector& state, const rank_health& rank, time_point now)
{
    return is_slow(rank) && now - rank.m_slow_since >= state.m_options.m_lasting;
}

void observe_rank(stall_detector& state, rank_health& rank, double ratio, time_point now)
{
    const auto& options = state.m_options;
    rank.m_ratio += ratio_smoothing * (ratio - rank.m_ratio);
    if (!is_slow(rank) && rank.m_ratio >= options.m_slow_ratio) {
        rank.m_slow_since = now;
    }
    if (rank.m_ratio < options.m_normal_ratio) {
        rank.m_slow_since = no_deadline;
        rank.m_speed = 1;
    }
    if (!is_slow(rank) || now - rank.m_slow_since < options.m_confirm) {
        return;
    }
    if (is_lasting(state, rank, now)) {
        const bool is_first = rank.m_speed == 1;
        const double weight = is_first ? 1.0 : speed_smoothing;
        rank.m_speed += weight * (1 / rank.m_ratio - rank.m_speed);
        return;
    }
    state.m_around_until = now + options.m_hold;
}

}  // namespace

stall_detector make_stall_detector(const stall_options& options, std::uint32_t ranks,
                                   time_point now)
{
    stall_detector state;
    state.m_options = options;
    state.m_ranks.resize(ranks);
    state.m_last_step = now;
    state.m_around_until = now;
    return state;
}

void observe(stall_detector& state, const rank_times& times, time_point now)
{
    require(times.m_measured.size() == state.m_ranks.size() &&
                times.m_predicted.size() == state.m_ranks.size(),
            "the detector needs one time for each rank");
    state.m_last_step = now;
    state.m_is_still = false;
    state.m_stalls = 0;
    std::vector<double> ratios;
    for (std::size_t rank = 0; rank < state.m_ranks.size(); ++rank) {
        ratios.push_back(ratio_of(times.m_measured[rank], times.m_predicted[rank]));
    }
    const double usual = std::max(median(ratios), 1e-6);
    for (std::size_t rank = 0; rank < state.m_ranks.size(); ++rank) {
        observe_rank(state, state.m_ranks[rank], ratios[rank] / usual, now);
    }
}

void set_busy(stall_detector& state, bool is_busy, time_point now)
{
    if (is_silent(state, now) && !state.m_is_still) {
        state.m_is_still = true;
        ++state.m_stalls;
    }
    if (is_busy && !state.m_is_busy) {
        state.m_last_step = now;
    }
    if (!is_busy && state.m_is_busy) {
        state.m_next_try = now + pause_of(state);
    }
    state.m_is_busy = is_busy;
    if (!is_busy && now >= state.m_next_try) {
        state.m_is_still = false;
    }
}

stall_advice advise(const stall_detector& state, time_point now)
{
    stall_advice advice;
    const bool is_still = state.m_is_still || is_silent(state, now);
    advice.m_route_around = is_still || now < state.m_around_until;
    advice.m_may_rebalance = !is_still;
    for (std::size_t rank = 0; rank < state.m_ranks.size(); ++rank) {
        const auto& health = state.m_ranks[rank];
        advice.m_speeds.push_back(health.m_speed);
        if (is_slow(health)) {
            advice.m_slow.emplace_back(static_cast<std::uint32_t>(rank));
            advice.m_may_rebalance = advice.m_may_rebalance && is_lasting(state, health, now);
        }
    }
    return advice;
}

}  // namespace dewbeam::experts
