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

TEST(turns, a_deadline_is_put_off_by_the_time_held_up_and_never_beyond_the_whole_span)
{
    const time_point now(milliseconds(10'000));
    const auto latest = now + milliseconds(2000);
    EXPECT_EQ(put_off(now - milliseconds(500), milliseconds(1500), latest),
              now + milliseconds(1000));
    EXPECT_EQ(put_off(now + milliseconds(1900), milliseconds(1500), latest), latest);
    EXPECT_EQ(put_off(latest + milliseconds(1), milliseconds(1500), latest),
              latest + milliseconds(1));
    EXPECT_EQ(put_off(no_deadline, milliseconds(1500), latest), no_deadline);
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
