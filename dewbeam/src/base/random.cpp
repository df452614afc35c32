#include "dewbeam/src/base/random.h"

#include <cmath>

#include "dewbeam/src/base/assert.h"

namespace dewbeam {

std::uint64_t uniform_below(random_engine& engine, std::uint64_t bound)
{
    require(bound > 0, "uniform_below needs a bound of at least 1");
    __extension__ using wide = unsigned __int128;
    return static_cast<std::uint64_t>((static_cast<wide>(engine()) * bound) >> 64U);
}

double uniform_unit(random_engine& engine)
{
    constexpr unsigned unused_bits = 11;
    constexpr double scale = 0x1.0p-53;
    return static_cast<double>(engine() >> unused_bits) * scale;
}

double exponential(random_engine& engine, double mean)
{
    return -mean * std::log1p(-uniform_unit(engine));
}

}  // namespace dewbeam
