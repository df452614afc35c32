// How long what a loop reads may have waited, and which orders are too old for it.
#include <gtest/gtest.h>

#include "dewbeam/src/registrar/order_age.h"
#include "dewbeam/turns"

namespace dewbeam {
namespace {

using namespace std::chrono_literals;

time_point at(time_span since_start)
{
    return time_point(since_start);
}

/// A loop that turned each 100 ms until `last`.
reader_watch turning_until(time_span last)
{
    reader_watch result;
    for (time_span now = 0s; now <= last; now += 100ms) {
        begin_turn(result, at(now));
    }
    return result;
}

TEST(reader_watch, what_a_turning_loop_reads_has_just_come)
{
    const auto loop = turning_until(5s);
    EXPECT_EQ(unread_since(loop, at(5050ms)), at(5050ms));
    EXPECT_EQ(unread_since(reader_watch{}, at(9s)), at(9s)) << "before the first turn";
}

TEST(reader_watch, a_hold_up_shows_before_the_turn_that_notices_it)
{
    const auto loop = turning_until(5s);
    EXPECT_EQ(unread_since(loop, at(12s)), at(5s));
}

TEST(reader_watch, a_hold_up_shows_until_the_backlog_is_read)
{
    auto loop = turning_until(5s);
    begin_turn(loop, at(12s));
    begin_turn(loop, at(12100ms));
    EXPECT_EQ(unread_since(loop, at(12100ms)), at(5s));
    EXPECT_EQ(unread_since(loop, at(12999ms)), at(5s));
    for (time_span now = 12200ms; now <= 13s; now += 100ms) {
        begin_turn(loop, at(now));
    }
    EXPECT_EQ(unread_since(loop, at(13s)), at(13s));
}

TEST(reader_watch, a_hold_up_in_the_backlog_keeps_the_begin_of_the_first)
{
    auto loop = turning_until(5s);
    begin_turn(loop, at(12s));
    EXPECT_EQ(unread_since(loop, at(12700ms)), at(5s)) << "not noticed yet";
    begin_turn(loop, at(12700ms));
    EXPECT_EQ(unread_since(loop, at(13600ms)), at(5s));
}

TEST(reader_watch, a_later_hold_up_counts_for_itself)
{
    auto loop = turning_until(5s);
    begin_turn(loop, at(12s));
    for (time_span now = 12100ms; now <= 20s; now += 100ms) {
        begin_turn(loop, at(now));
    }
    begin_turn(loop, at(22s));
    EXPECT_EQ(unread_since(loop, at(22s)), at(20s));
}

TEST(reader_watch, short_hold_ups_do_not_add_up)
{
    reader_watch loop;
    for (time_span now = 0s; now <= 20s; now += 450ms) {
        begin_turn(loop, at(now));
        EXPECT_EQ(unread_since(loop, at(now + 400ms)), at(now + 400ms));
    }
}

using registrar::is_outdated;
using registrar::order_deadline;

// Guards against an order that waited at a frozen registry and undoes a later, acknowledged one.
TEST(order_age, an_order_read_behind_a_long_hold_up_is_too_old)
{
    auto loop = turning_until(5s);
    begin_turn(loop, at(12s));
    EXPECT_TRUE(is_outdated(order_deadline(unread_since(loop, at(12050ms))), at(12050ms)));
}

// Guards against a freeze between the reading of an order and its proposal.
TEST(order_age, an_order_that_was_read_in_time_grows_old_in_the_process)
{
    const auto loop = turning_until(5s);
    const auto deadline = order_deadline(unread_since(loop, at(5050ms)));
    EXPECT_FALSE(is_outdated(deadline, at(5300ms)));
    EXPECT_TRUE(is_outdated(deadline, at(12s)));
}

TEST(order_age, an_order_behind_a_hold_up_shorter_than_callers_wait_is_taken)
{
    auto loop = turning_until(5s);
    begin_turn(loop, at(5800ms));
    EXPECT_FALSE(is_outdated(order_deadline(unread_since(loop, at(5850ms))), at(5850ms)));
    EXPECT_TRUE(is_outdated(order_deadline(unread_since(loop, at(6100ms))), at(6100ms)))
        << "it may have been sent before the hold-up";
}

}  // namespace
}  // namespace dewbeam
