// Steps as a group's published timing explains them, and how uneven a map may be.
#include <gtest/gtest.h>

#include "dewbeam/experts"

namespace dewbeam::experts {
namespace {

using std::chrono::milliseconds;

const step_timing usual{milliseconds(30), 0.85, milliseconds(120)};
const skew_band tight{1.12, 1.04};

TEST(step_model, takes_the_fixed_part_and_the_skew_out_of_a_step)
{
    EXPECT_NEAR(work_of(usual, milliseconds(50), 1.0, 1.0), 0.020, 1e-9);
    EXPECT_NEAR(work_of(usual, milliseconds(50), 2.0, 1.0), 0.020 / 1.85, 1e-9);
    EXPECT_EQ(work_of(usual, milliseconds(20), 1.0, 1.0), 0.0) << "shorter than its fixed part";
}

TEST(step_model, tolerates_an_uneven_map_while_the_pause_objective_is_far)
{
    const auto calm = tolerated_skews(usual, 0.010, 1.0, tight);
    EXPECT_EQ(calm.m_high, 2.0);
    const auto busy = tolerated_skews(usual, 0.025, 1.0, tight);
    EXPECT_GT(busy.m_high, 1.5);
    EXPECT_LT(busy.m_high, 2.0);
    EXPECT_LT(busy.m_low, busy.m_high);
    const auto full = tolerated_skews(usual, 0.045, 1.0, tight);
    EXPECT_EQ(full.m_high, tight.m_high);
    EXPECT_EQ(full.m_low, tight.m_low);
}

TEST(step_model, a_slow_rank_leaves_no_room_for_an_uneven_map)
{
    const auto slowed = tolerated_skews(usual, 0.015, 3.0, tight);
    EXPECT_EQ(slowed.m_high, tight.m_high);
}

TEST(step_model, without_published_timing_maps_are_kept_even)
{
    const auto unknown = tolerated_skews({}, 0.010, 1.0, tight);
    EXPECT_EQ(unknown.m_high, tight.m_high);
    EXPECT_EQ(unknown.m_low, tight.m_low);
}

}  // namespace
}  // namespace dewbeam::experts
