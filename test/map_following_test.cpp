// Users of a group of 63 ranks got most streams late by a pause on quiet days: nothing had failed,
// but which experts were in demand changed each 2.2 to 2.9 s. Order of events: demand shifts, all
// steps take as long as the most loaded rank, 100 to 150 ms; ranks tell their counts each 0.64 s; a
// plan is made; its map goes as 10 KB of text to each of 63 ranks over one link of 8 Mbit/s, 0.63
// s; it is in force 0.9 s after the plan; the next plan waits another second until every rank has
// told that it uses that map. Cause: the loop from counts to a map in force took 1.9 s, by messages
// that grow with ranks and experts, so that maps came for demand that had gone.
//
// Evidence: the times of plans and changes of map in the coordinating rank's log of two quiet days;
// skew before a plan 1.4 to 3.4 although each promised 1.05 to 1.1.
#include <gtest/gtest.h>

#include <algorithm>

#include "bench/planning_common/rank_site.h"

namespace dewbeam::bench {
namespace {

using std::chrono::milliseconds;

/// The shortest time for which demand stays on the sites that were short.
constexpr time_span min_demand = milliseconds(2200);

rank_site_figures play(time_span shift_interval, std::uint64_t seed)
{
    rank_site_options options;
    options.m_facts = large_group_facts();
    options.m_shift_interval = shift_interval;
    options.m_seed = seed;
    return rank_site(options).run(std::chrono::seconds(30));
}

time_span median(std::vector<time_span> values)
{
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// A map is worth its fetches if it is in force for most of the time for which its demand stays.
TEST(map_following, steps_are_short_again_within_half_of_the_time_that_demand_stays)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto figures = play(min_demand, seed);
        ASSERT_GE(figures.m_recovery.size(), 10U);
        EXPECT_LE(median(figures.m_recovery), min_demand / 2) << "seed " << seed;
        EXPECT_LE(figures.m_long_share, 0.5) << "seed " << seed;
    }
}

/// A rank's host takes 40 us of its processor for a message, of which it has a part of 0.15.
constexpr time_span message_time = std::chrono::microseconds(270);

rank_site_options large_group(std::uint32_t ranks, std::uint32_t layers, std::uint32_t experts,
                              std::uint32_t places)
{
    rank_site_options options;
    options.m_facts = large_group_facts();
    options.m_ranks = ranks;
    options.m_facts.m_layers = layers;
    options.m_facts.m_experts = experts;
    options.m_facts.m_places = places;
    options.m_facts.m_most_new = 1;
    options.m_link_rate = {750'000};  // 6 Mbit/s
    options.m_message_time = message_time;
    options.m_shift_interval = milliseconds(3500);
    return options;
}

// The same users with 129 ranks: not one map came into force in a whole day. The coordinating host
// sent a heartbeat to every rank five times a second and took each answer and each rank's counts by
// itself, 266 KB a telling on a link of 6 Mbit/s: its processor share was used up, counts came
// late, and one rank without news held up every plan.
TEST(map_following, groups_of_129_and_256_ranks_follow_demand)
{
    const std::pair<const char*, rank_site_options> groups[] = {
        {"129 ranks", large_group(129, 16, 258, 3)}, {"256 ranks", large_group(256, 4, 256, 2)}};
    for (auto [name, options] : groups) {
        options.m_seed = 1;
        const auto figures = rank_site(options).run(std::chrono::seconds(20));
        ASSERT_GE(figures.m_recovery.size(), 4U) << name;
        EXPECT_GE(figures.m_changes, 4U) << name;
        EXPECT_LE(median(figures.m_recovery), options.m_shift_interval / 2) << name;
    }
}

}  // namespace
}  // namespace dewbeam::bench
