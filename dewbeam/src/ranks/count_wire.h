/// \file
/// Counts of chosen experts on their way to the rank that plans: two bytes each.
///
/// Only differences between two tellings matter, and to within a few choices. So a count is sent
/// without its two lowest bits and modulo a number that fits into two bytes of a varint; the
/// receiver adds up the differences. A full count takes three bytes after some 20 s and four later,
/// and a group of 63 ranks tells 127,000 of them at a time.
#pragma once

#include <cstdint>
#include <vector>

namespace dewbeam::ranks {

/// The counts as they are sent.
std::vector<std::uint32_t> shorten_counts(const std::vector<std::uint64_t>& counts);

/// What one rank told so far.
struct told_counts {
    std::vector<std::uint32_t> m_last;   ///< as they were sent
    std::vector<std::uint64_t> m_total;  ///< counts since the first telling
};

/// Takes in the next telling. Between two of them each count may grow by 65,535: at 2,000 choices
/// of an expert a second, which no rank reaches, that is half a minute.
void take_counts(told_counts& told, std::vector<std::uint32_t> sent);

}  // namespace dewbeam::ranks
