// Times in messages: any number that another process sends gives a time that can be worked with.
#include <gtest/gtest.h>

#include <limits>

#include "dewbeam/link"
#include "dewbeam/src/entry/suspicion_wire.h"

namespace dewbeam {
namespace {

using namespace std::chrono_literals;

constexpr time_point now{std::chrono::hours(5)};
constexpr time_point wall_now{std::chrono::hours(24 * 365 * 56)};

TEST(wire, remaining_time_gives_the_deadline)
{
    EXPECT_EQ(link::deadline_after(0, now), now);
    EXPECT_EQ(link::deadline_after(1500, now), now + 1500us);
    const auto far = now + std::chrono::hours(24 * 365);
    EXPECT_EQ(link::deadline_after(link::remaining_us(far, now), now), far);
}

TEST(wire, remaining_time_beyond_the_clock_gives_no_deadline)
{
    const auto room = link::remaining_us(no_deadline, now);
    EXPECT_EQ(link::deadline_after(room - 1, now), no_deadline - 1us);
    EXPECT_EQ(link::deadline_after(room, now), no_deadline);
    EXPECT_EQ(link::deadline_after(room + 1, now), no_deadline);
    EXPECT_EQ(link::deadline_after(std::numeric_limits<std::uint64_t>::max(), now), no_deadline);
}

quarantine::suspicion read_death_at(std::int64_t at)
{
    wire::Suspicion message;
    message.add_deaths()->set_at_unix_us(at);
    message.set_has_cleared(true);
    message.set_cleared_at_unix_us(at);
    return entry::from_wire(message, now, wall_now);
}

TEST(wire, death_keeps_its_age)
{
    const auto at = wall_now - 3s;
    const auto record = read_death_at(at.time_since_epoch().count());
    ASSERT_EQ(record.m_crash_reports.size(), 1U);
    EXPECT_EQ(record.m_crash_reports[0].m_at, now - 3s);
    EXPECT_EQ(record.m_cleared_at, now - 3s);
}

TEST(wire, death_at_any_number_keeps_the_order_of_times)
{
    const auto earliest = read_death_at(std::numeric_limits<std::int64_t>::min());
    const auto latest = read_death_at(std::numeric_limits<std::int64_t>::max());
    EXPECT_LT(earliest.m_crash_reports[0].m_at, now);
    EXPECT_GT(latest.m_crash_reports[0].m_at, now);
    EXPECT_GT(latest.m_crash_reports[0].m_at + std::chrono::hours(24 * 365),
              latest.m_crash_reports[0].m_at);
    EXPECT_LT(earliest.m_cleared_at, latest.m_cleared_at);
}

}  // namespace
}  // namespace dewbeam
