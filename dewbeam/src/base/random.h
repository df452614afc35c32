/// \file
/// Random draws from an engine that the caller passes in; the same seed gives the same draws
/// with every standard library.
#pragma once

#include <cstdint>
#include <random>

namespace dewbeam {

/// The engine of all decisions.
using random_engine = std::mt19937_64;

/// A number in `[0, bound)`; `bound` is at least 1. Unbiased to within 2^-32 for small bounds.
std::uint64_t uniform_below(random_engine& engine, std::uint64_t bound);

/// A number in `[0, 1)`.
double uniform_unit(random_engine& engine);

/// A draw from the exponential distribution with the given mean, in the mean's unit.
double exponential(random_engine& engine, double mean);

}  // namespace dewbeam
