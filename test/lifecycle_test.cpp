// Start, readiness and graceful stop of a process.
#include "dewbeam/lifecycle"

#include <gtest/gtest.h>

namespace dewbeam::lifecycle {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{};

TEST(lifecycle, planned_stop_waits_for_the_last_request)
{
    process subject;
    EXPECT_EQ(subject.current(), phase::starting);
    EXPECT_EQ(subject.learned(), command::start_serving);
    EXPECT_EQ(subject.stop_requested(start + seconds(2), start + seconds(60)),
              command::announce_leave);
    EXPECT_EQ(subject.current(), phase::unready);
    EXPECT_EQ(subject.tick(start + seconds(1), 3), command::none);
    EXPECT_EQ(subject.tick(start + seconds(2), 3), command::stop_accepting);
    EXPECT_EQ(subject.tick(start + seconds(3), 1), command::none);
    EXPECT_EQ(subject.tick(start + seconds(4), 0), command::exit_clean);
    EXPECT_EQ(subject.current(), phase::stopped);
}

TEST(lifecycle, only_the_deadline_cuts)
{
    process subject;
    subject.learned();
    subject.stop_requested(start + seconds(1), start + seconds(5));
    subject.tick(start + seconds(1), 1);
    EXPECT_EQ(subject.tick(start + seconds(5) - milliseconds(1), 1), command::none);
    EXPECT_EQ(subject.tick(start + seconds(5), 1), command::exit_cut);
}

TEST(lifecycle, repeated_signals_neither_cut_nor_extend_a_stop)
{
    process subject;
    subject.learned();
    subject.stop_requested(start + seconds(1), start + seconds(5));
    EXPECT_EQ(subject.stop_requested(start, start), command::none);
    EXPECT_EQ(subject.current(), phase::unready);
    EXPECT_EQ(subject.tick(start + seconds(1), 1), command::stop_accepting);
    EXPECT_EQ(subject.stop_requested(start + seconds(9), start + seconds(60)), command::none);
    EXPECT_EQ(subject.current(), phase::draining);
    EXPECT_EQ(subject.tick(start + seconds(5), 1), command::exit_cut);
}

TEST(lifecycle, stop_before_serving_drains_at_once)
{
    process subject;
    EXPECT_EQ(subject.stop_requested(start + seconds(9), start + seconds(60)),
              command::stop_accepting);
    EXPECT_EQ(subject.learned(), command::none);
    EXPECT_EQ(subject.tick(start, 0), command::exit_clean);
}

}  // namespace
}  // namespace dewbeam::lifecycle
