// How late the turns of a loop are.
#include "dewbeam/turns"

#include <gtest/gtest.h>

namespace dewbeam {
namespace {

using std::chrono::milliseconds;

TEST(turns, only_the_time_beyond_the_longest_turn_is_late)
{
    turn_watch turns;
    time_point now{};
    EXPECT_EQ(begin_turn(turns, now, milliseconds(100)), time_span::zero());
    now += milliseconds(100);
    EXPECT_EQ(begin_turn(turns, now, milliseconds(100)), time_span::zero());
    now += milliseconds(1600);
    EXPECT_EQ(begin_turn(turns, now, milliseconds(100)), milliseconds(1500));
    now += milliseconds(10);
    EXPECT_EQ(begin_turn(turns, now, milliseconds(100)), time_span::zero());
}

TEST(turns, other_threads_see_the_total_while_a_turn_is_still_late)
{
    held_up_total total;
    held_up_since seen;
    time_point now{};
    EXPECT_EQ(total.until(now), time_span::zero());
    total.begin_turn(now, milliseconds(100));
    now += milliseconds(400);
    EXPECT_EQ(take_growth(seen, total.until(now)), milliseconds(300));
    now += milliseconds(200);
    EXPECT_EQ(total.begin_turn(now, milliseconds(100)), milliseconds(500));
    EXPECT_EQ(take_growth(seen, total.until(now)), milliseconds(200));
    EXPECT_EQ(take_growth(seen, total.until(now + milliseconds(100))), time_span::zero());
}

}  // namespace
}  // namespace dewbeam
