#include "dewbeam/src/ranks/count_wire.h"

#include <algorithm>
#include <functional>

namespace dewbeam::ranks {

namespace {

constexpr std::uint32_t bits_of_byte = 8;
constexpr std::uint32_t bits_of_count = 64;

bool is_continuation(const std::vector<std::uint64_t>& reported,
                     const std::vector<std::uint64_t>& counts)
{
    return reported.size() == counts.size() &&
           std::equal(reported.begin(), reported.end(), counts.begin(), std::less_equal<>());
}

std::uint32_t bits_to_drop(const std::vector<std::uint64_t>& reported,
                           const std::vector<std::uint64_t>& counts, std::uint64_t largest)
{
    std::uint64_t most = 0;
    for (std::size_t i = 0; i < counts.size(); ++i) {
        most = std::max(most, counts[i] - reported[i]);
    }
    std::uint32_t result = 0;
    while ((most >> result) > largest) {
        ++result;
    }
    return result;
}

}  // namespace

std::uint64_t steps_since(reported_counts& reported, std::uint64_t formation, std::uint64_t step,
                          const std::vector<std::uint64_t>& counts)
{
    const bool is_later = reported.m_formation == formation && step > reported.m_step;
    const auto result = is_later && is_continuation(reported.m_reported, counts)
                            ? step - reported.m_step
                            : std::uint64_t{0};
    reported.m_formation = formation;
    reported.m_step = step;
    return result;
}

packed_counts pack_counts(reported_counts& reported, const std::vector<std::uint64_t>& counts,
                          std::uint32_t bits)
{
    if (!is_continuation(reported.m_reported, counts)) {
        reported.m_reported = counts;
    }
    packed_counts result;
    result.m_bits = bits;
    const std::uint64_t largest = (1ULL << bits) - 1;
    result.m_dropped_bits = bits_to_drop(reported.m_reported, counts, largest);
    const auto counts_per_byte = bits_of_byte / bits;
    result.m_bytes.assign((counts.size() + counts_per_byte - 1) / counts_per_byte, '\0');
    for (std::size_t i = 0; i < counts.size(); ++i) {
        const auto value = (counts[i] - reported.m_reported[i]) >> result.m_dropped_bits;
        reported.m_reported[i] += value << result.m_dropped_bits;
        auto& byte = result.m_bytes[i / counts_per_byte];
        byte = static_cast<char>(static_cast<unsigned char>(byte) |
                                 (value << (bits * (i % counts_per_byte))));
    }
    return result;
}

bool add_counts(std::vector<std::uint64_t>& totals, const packed_counts& reported,
                std::size_t counts)
{
    const bool is_known = reported.m_bits == 4 || reported.m_bits == 8;
    if (!is_known || reported.m_dropped_bits >= bits_of_count) {
        return false;
    }
    const auto counts_per_byte = bits_of_byte / reported.m_bits;
    if (reported.m_bytes.size() != (counts + counts_per_byte - 1) / counts_per_byte) {
        return false;
    }
    totals.resize(counts, 0);
    const std::uint64_t mask = (1ULL << reported.m_bits) - 1;
    for (std::size_t i = 0; i < counts; ++i) {
        const auto byte = static_cast<unsigned char>(reported.m_bytes[i / counts_per_byte]);
        totals[i] += ((byte >> (reported.m_bits * (i % counts_per_byte))) & mask)
                     << reported.m_dropped_bits;
    }
    return true;
}

}  // namespace dewbeam::ranks
