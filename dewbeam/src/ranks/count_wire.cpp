#include "dewbeam/src/ranks/count_wire.h"

#include <utility>

namespace dewbeam::ranks {

namespace {

constexpr unsigned dropped_bits = 2;
constexpr std::uint32_t mask = (1U << 14) - 1;  // what two bytes of a varint hold

}  // namespace

std::vector<std::uint32_t> shorten_counts(const std::vector<std::uint64_t>& counts)
{
    std::vector<std::uint32_t> result;
    result.reserve(counts.size());
    for (const auto count : counts) {
        result.push_back(static_cast<std::uint32_t>(count >> dropped_bits) & mask);
    }
    return result;
}

void take_counts(told_counts& told, std::vector<std::uint32_t> sent)
{
    if (told.m_last.size() != sent.size()) {
        told.m_last = sent;
        told.m_total.assign(sent.size(), 0);
    }
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const auto difference = (sent[i] - told.m_last[i]) & mask;
        told.m_total[i] += std::uint64_t{difference} << dropped_bits;
    }
    told.m_last = std::move(sent);
}

}  // namespace dewbeam::ranks
