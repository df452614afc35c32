#include "dewbeam/src/experts/forecast.h"

#include <algorithm>
#include <cmath>

namespace dewbeam::experts {

namespace {

constexpr double error_smoothing = 0.4;
/// Small groups count few streams, whose samples differ much without any change of demand.
constexpr double jump_over_usual = 3.0;
constexpr double change_smoothing = 0.1;

void blend(group_counts& average, const group_counts& sample, double weight)
{
    for (std::size_t layer = 0; layer < average.size(); ++layer) {
        for (std::size_t expert = 0; expert < average[layer].size(); ++expert) {
            average[layer][expert] += weight * (sample[layer][expert] - average[layer][expert]);
        }
    }
}

void add(group_counts& sum, const group_counts& sample, double weight)
{
    for (std::size_t layer = 0; layer < sum.size(); ++layer) {
        for (std::size_t expert = 0; expert < sum[layer].size(); ++expert) {
            sum[layer][expert] += weight * sample[layer][expert];
        }
    }
}

double total(const layer_counts& counts)
{
    double sum = 0;
    for (const auto count : counts) {
        sum += count;
    }
    return sum;
}

/// Half of the L1 distance of the two distributions, averaged over the layers.
double misplaced(const group_counts& expected, const group_counts& seen)
{
    double sum = 0;
    for (std::size_t layer = 0; layer < seen.size(); ++layer) {
        const auto all_expected = std::max(total(expected[layer]), 1e-9);
        const auto all_seen = std::max(total(seen[layer]), 1e-9);
        for (std::size_t expert = 0; expert < seen[layer].size(); ++expert) {
            sum +=
                std::abs(expected[layer][expert] / all_expected - seen[layer][expert] / all_seen);
        }
    }
    return sum / 2 / static_cast<double>(std::max<std::size_t>(1, seen.size()));
}

/// The fast average moved on along the line through both averages. An average lags by its time
/// constant, so their difference over the difference of the constants is the slope.
group_counts along_trend(const forecast& state)
{
    const auto& options = state.m_options;
    const auto age = std::min(options.m_slow, state.m_updated - state.m_begun);
    const double lag = std::max(1.0, to_seconds(age) - to_seconds(options.m_fast));
    const double factor = to_seconds(options.m_ahead + options.m_fast) / lag;
    auto line = state.m_fast;
    for (std::size_t layer = 0; layer < line.size(); ++layer) {
        for (std::size_t expert = 0; expert < line[layer].size(); ++expert) {
            const double rise = state.m_fast[layer][expert] - state.m_slow[layer][expert];
            line[layer][expert] = std::max(0.0, line[layer][expert] + factor * rise);
        }
    }
    return line;
}

group_counts predict_by(const forecast& state, predictor which)
{
    switch (which) {
        case predictor::fast:
            return state.m_fast;
        case predictor::slow:
            return state.m_slow;
        case predictor::trend:
            break;
    }
    return along_trend(state);
}

void score(forecast& state, time_point now)
{
    for (std::size_t i = 0; i < predictor_count; ++i) {
        if (state.m_seen_weight > 0) {
            const double error = misplaced(state.m_pledged[i], state.m_seen);
            const double weight = state.m_scored == 0 ? 1.0 : error_smoothing;
            state.m_error[i] += weight * (error - state.m_error[i]);
        }
        state.m_pledged[i] = predict_by(state, static_cast<predictor>(i));
    }
    state.m_scored += state.m_seen_weight > 0 ? 1 : 0;
    for (auto& layer : state.m_seen) {
        std::fill(layer.begin(), layer.end(), 0.0);
    }
    state.m_seen_weight = 0;
    state.m_score_at = now + state.m_options.m_scoring;
}

bool is_jump(forecast& state, const group_counts& sample)
{
    const double change = misplaced(state.m_fast, sample);
    const double usual = state.m_usual_change;
    state.m_usual_change += change_smoothing * (change - usual);
    return change > std::max(state.m_options.m_jump, jump_over_usual * usual);
}

/// Demand has jumped: the averages begin with this sample.
void begin_anew(forecast& state, const group_counts& sample, time_point now)
{
    state.m_fast = sample;
    state.m_slow = sample;
    state.m_begun = now;
    state.m_updated = now;
    ++state.m_jumps;
}

}  // namespace

void observe(forecast& state, const group_counts& tokens_per_step, time_point now)
{
    if (state.m_fast.empty()) {
        state.m_fast = tokens_per_step;
        state.m_slow = tokens_per_step;
        state.m_seen = tokens_per_step;
        state.m_begun = now;
        state.m_updated = now;
        score(state, now);
        return;
    }
    if (is_jump(state, tokens_per_step)) {
        begin_anew(state, tokens_per_step, now);
        return;
    }
    state.m_jumps = 0;
    const double elapsed = to_seconds(now - state.m_updated);
    const double age = to_seconds(now - state.m_begun);
    const double slow = std::min(to_seconds(state.m_options.m_slow), std::max(age, elapsed));
    blend(state.m_fast, tokens_per_step,
          1 - std::exp(-elapsed / to_seconds(state.m_options.m_fast)));
    blend(state.m_slow, tokens_per_step, 1 - std::exp(-elapsed / std::max(slow, 1e-6)));
    add(state.m_seen, tokens_per_step, elapsed);
    state.m_seen_weight += elapsed;
    state.m_updated = now;
    if (now >= state.m_score_at) {
        score(state, now);
    }
}

predictor best_predictor(const forecast& state)
{
    if (state.m_scored == 0) {
        return predictor::fast;
    }
    const auto least = std::min_element(state.m_error.begin(), state.m_error.end());
    return static_cast<predictor>(least - state.m_error.begin());
}

group_counts predict(const forecast& state)
{
    return predict_by(state, best_predictor(state));
}

double error_of_best(const forecast& state)
{
    return state.m_error[static_cast<std::size_t>(best_predictor(state))];
}

}  // namespace dewbeam::experts
