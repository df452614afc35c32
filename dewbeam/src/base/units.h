/// \file
/// Units: time points, time spans, tokens and bytes.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace dewbeam {

/// The clock of all decisions. It has no `now()`: the program or the test passes the time in.
struct decision_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<decision_clock, duration>;
    static constexpr bool is_steady = true;
};

/// A point in time on the clock of decisions; deadlines are stored as this.
using time_point = decision_clock::time_point;
/// A span of time; used for settings and for differences, never stored as a running timer.
using time_span = decision_clock::duration;

/// A deadline that never comes.
inline constexpr time_point no_deadline = time_point::max();

/// A span as a figure: for logs, metrics and models.
constexpr double to_seconds(time_span span)
{
    return std::chrono::duration<double>(span).count();
}

/// The same in milliseconds.
constexpr double to_milliseconds(time_span span)
{
    return std::chrono::duration<double, std::milli>(span).count();
}

/// A count with a unit: adds and compares only with its own kind.
template <class Tag>
struct quantity {
    std::int64_t m_count = 0;

    friend constexpr auto operator<=>(const quantity&, const quantity&) = default;
    friend constexpr quantity operator+(quantity a, quantity b) { return {a.m_count + b.m_count}; }
    friend constexpr quantity operator-(quantity a, quantity b) { return {a.m_count - b.m_count}; }
    constexpr quantity& operator+=(quantity other)
    {
        m_count += other.m_count;
        return *this;
    }
    constexpr quantity& operator-=(quantity other)
    {
        m_count -= other.m_count;
        return *this;
    }
};

/// A number of tokens.
using token_count = quantity<struct token_tag>;
/// A number of bytes.
using byte_count = quantity<struct byte_tag>;

}  // namespace dewbeam
