/// \file
/// The `Retry-After` field of an answer (RFC 9110, 10.2.3).
#pragma once

#include <optional>

#include "dewbeam/base"
#include "dewbeam/src/http/message.h"

namespace dewbeam::http {

/// Longest span that a `Retry-After` can ask for; larger values count as this one.
inline constexpr time_span max_retry_after = std::chrono::hours(1);

/// A `Retry-After` that an answer carries.
struct retry_after {
    std::optional<time_span> m_span;  ///< empty: the value can't be read
};

/// Reads the field; empty if the answer has none. The value is a number of seconds, which may have
/// decimals, or a date. A date is read against the answer's own `Date`, so that the clocks of the
/// two hosts need not agree; without one it can't be read.
std::optional<retry_after> read_retry_after(const fields& head);

}  // namespace dewbeam::http
