/// \file
/// Forecast of the tokens of each expert from what was counted.
///
/// Three predictors run side by side: a fast average, a slow average and a straight line through
/// both. The one that erred least in the recent past is used, so that a steady drift is
/// extrapolated, a jump is followed and a popularity that swings to and fro is averaged.
#pragma once

#include <array>
#include <cstdint>

#include "dewbeam/base"
#include "dewbeam/src/experts/expert_map.h"

namespace dewbeam::experts {

/// Which predictor.
enum class predictor : std::uint8_t { fast, slow, trend };
/// How many predictors there are.
inline constexpr std::size_t predictor_count = 3;

/// Time constants of the averages.
struct forecast_options {
    time_span m_fast = std::chrono::seconds(2);
    time_span m_slow = std::chrono::seconds(90);
    time_span m_ahead = std::chrono::seconds(20);    ///< how far the trend looks
    time_span m_scoring = std::chrono::seconds(20);  ///< how often predictors are compared
    /// Demand has jumped where a sample differs from the fast average by more than this share of
    /// the tokens, and by far more than samples usually do.
    double m_jump = 1.0;
};

/// State of the forecast.
struct forecast {
    forecast_options m_options;
    group_counts m_fast;
    group_counts m_slow;
    time_point m_begun{};
    time_point m_updated{};
    time_point m_score_at{};
    std::array<group_counts, predictor_count> m_pledged;  ///< what each predictor said last
    group_counts m_seen;                                  ///< sum since then
    double m_seen_weight = 0;
    std::array<double, predictor_count> m_error{};  ///< share of tokens misplaced, smoothed
    std::uint32_t m_scored = 0;
    double m_usual_change = 0.0;  ///< of a sample against the fast average, smoothed
    std::uint32_t m_jumps = 0;    ///< latest samples in a row that each were a jump
};

/// Takes in the tokens per step that were counted since the last call.
void observe(forecast& state, const group_counts& tokens_per_step, time_point now);

/// The predictor that erred least.
predictor best_predictor(const forecast& state);

/// Expected tokens per step; empty before the first observation.
group_counts predict(const forecast& state);

/// Share of the tokens, 0 to 1, that the best predictor lately placed at the wrong expert.
double error_of_best(const forecast& state);

}  // namespace dewbeam::experts
