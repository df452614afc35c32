// Guards against naming the wrong cause of a late answer.
#include "dewbeam/src/gateway/lateness.h"

#include <gtest/gtest.h>

namespace dewbeam::gateway {
namespace {

using std::chrono::milliseconds;

time_point at(int value)
{
    return time_point(milliseconds(1000 + value));
}

routes::route objectives()
{
    routes::route result;
    result.m_latency_objective = milliseconds(400);
    result.m_gap_objective = milliseconds(120);
    return result;
}

answer_times times(int first_sent, int first_byte)
{
    answer_times result;
    result.m_arrival = at(0);
    result.m_first_sent = at(first_sent);
    note_event(result, true, at(first_byte));
    return result;
}

TEST(lateness, names_what_took_most_of_the_time_to_the_first_byte)
{
    EXPECT_EQ(lateness_of(times(10, 400), at(10), objectives()), late_reason::none);
    EXPECT_EQ(lateness_of(times(300, 500), at(300), objectives()), late_reason::queued);
    EXPECT_EQ(lateness_of(times(10, 500), at(10), objectives()), late_reason::first_token);
    EXPECT_EQ(lateness_of(times(10, 900), at(700), objectives()), late_reason::retried);
    EXPECT_EQ(lateness_of({}, {}, objectives()), late_reason::none) << "it has no first byte";
}

TEST(lateness, tells_a_pause_of_the_upstream_from_a_change_of_upstreams)
{
    auto paused = times(10, 100);
    note_event(paused, false, at(221));
    EXPECT_EQ(lateness_of(paused, at(10), objectives()), late_reason::paused);
    auto resumed = times(10, 100);
    note_event(resumed, true, at(221));
    EXPECT_EQ(lateness_of(resumed, at(150), objectives()), late_reason::resumed);
    auto steady = times(10, 100);
    note_event(steady, false, at(220));
    EXPECT_EQ(lateness_of(steady, at(10), objectives()), late_reason::none);
}

TEST(lateness, a_route_without_objectives_is_never_late)
{
    auto slow = times(3000, 5000);
    note_event(slow, false, at(9000));
    EXPECT_EQ(lateness_of(slow, at(3000), {}), late_reason::none);
}

}  // namespace
}  // namespace dewbeam::gateway
