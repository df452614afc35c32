/// \file
/// The one line of JSON that a bench prints.
#pragma once

#include <cmath>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <string>

namespace dewbeam::bench {

using json = nlohmann::ordered_json;

/// Four significant digits are enough for a table.
inline double rounded(double value)
{
    if (value == 0 || !std::isfinite(value)) {
        return value;
    }
    const double scale = std::pow(10.0, 3 - std::floor(std::log10(std::abs(value))));
    return std::round(value * scale) / scale;
}

/// Prints `line` as one line.
inline int print(const json& line)
{
    std::puts(line.dump().c_str());
    return 0;
}

}  // namespace dewbeam::bench
