/// \file
/// Since when an answer about the newest state may be outdated.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "dewbeam/base"

namespace dewbeam::consensus {

/// A replica asked a quorum and tells how long ago. \returns the time, by the clock of the one who
/// asked the replica at `asked_at`, before which everything accepted is in its answer. An answer
/// that was held up on its way doesn't count as newer than the question.
inline time_point confirmed_time(time_point asked_at, std::chrono::microseconds age, time_point now)
{
    return std::min(asked_at, now) - std::chrono::duration_cast<time_span>(age);
}

/// An age as messages carry it, rounded up.
inline std::uint64_t to_age_us(time_span age)
{
    const auto rounded = std::chrono::ceil<std::chrono::microseconds>(age);
    return static_cast<std::uint64_t>(std::max<std::int64_t>(0, rounded.count()));
}

}  // namespace dewbeam::consensus
