#include "dewbeam/src/ranks/count_wire.h"

#include <algorithm>
#include <functional>

namespace dewbeam::ranks {

namespace {

constexpr std::uint32_t bits_of_byte = 8;
constexpr std::uint32_t bits_of_count = 64;

bool goes_on(const std::vector<std::uint64_t>& told, const std::vector<std::uint64_t>& counts)
{
    return told.size() == counts.size() &&
           std::equal(told.begin(), told.end(), counts.begin(), std::less_equal<>());
}

std::uint32_t bits_to_drop(const std::vector<std::uint64_t>& told,
                           const std::vector<std::uint64_t>& counts, std::uint64_t largest)
{
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        most = std::max(most, counts[i] - told[i]);
    }
    std::uint32_t result = 0;
    while ((most >> result) > largest) {
        ++result;
    }
    return result;
}

}  // namespace

std::uint64_t steps_since(told_counts& told, std::uint64_t formation, std::uint64_t step,
                          const std::vector<std::uint64_t>& counts)
{
    const bool is_later = told.m_formation == formation && step > told.m_step;
    const auto result =
        is_later && goes_on(told.m_told, counts) ? step - told.m_step : std::uint64_t{0};
    told.m_formation = formation;
    told.m_step = step;
    return result;
}

packed_counts pack_counts(told_counts& told, const std::vector<std::uint64_t>& counts,
                          std::uint32_t bits)
{
    if (!goes_on(told.m_told, counts)) {
        told.m_told = counts;
    }
    packed_counts result;
    result.m_bits = bits;
    const std::uint64_t largest = (1ULL << bits) - 1;
    result.m_dropped_bits = bits_to_drop(told.m_told, counts, largest);
    const auto in_byte = bits_of_byte / bits;
    result.m_bytes.assign((counts.size() + in_byte - 1) / in_byte, '\0');
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const auto value = (counts[i] - told.m_told[i]) >> result.m_dropped_bits;
        told.m_told[i] += value << result.m_dropped_bits;
        auto& byte = result.m_bytes[i / in_byte];
        byte =
            static_cast<char>(static_cast<unsigned char>(byte) | (value << (bits * (i % in_byte))));
    }
    return result;
}

bool add_counts(std::vector<std::uint64_t>& totals, const packed_counts& told, std::size_t counts)
{
    const bool is_known = told.m_bits == 4 || told.m_bits == 8;
    if (!is_known || told.m_dropped_bits >= bits_of_count) {
        return false;
    }
    const auto in_byte = bits_of_byte / told.m_bits;
    if (told.m_bytes.size() != (counts + in_byte - 1) / in_byte) {
        return false;
    }
    totals.resize(counts, 0);
    const std::uint64_t mask = (1ULL << told.m_bits) - 1;
    for (std::size_t i = 0; i < counts; ++i) {
        const auto byte = static_cast<unsigned char>(told.m_bytes[i / in_byte]);
        totals[i] += ((byte >> (told.m_bits * (i % in_byte))) & mask) << told.m_dropped_bits;
    }
    return true;
}

}  // namespace dewbeam::ranks
