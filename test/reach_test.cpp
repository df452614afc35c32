// Engines that are gone and engines on starved hosts, told apart by polls.
#include <gtest/gtest.h>

#include "dewbeam/engine"

namespace dewbeam::engine {
namespace {

constexpr time_span punctual = std::chrono::milliseconds(5);
constexpr time_span late = std::chrono::milliseconds(400);

std::uint32_t polls_until_lost(poll_end end, time_span host_delay)
{
    reach state;
    std::uint32_t polls = 0;
    while (!state.m_is_lost) {
        note_poll(state, end, host_delay);
        ++polls;
    }
    return polls;
}

// An engine that takes connections and says nothing kept requests for eight polls of a second;
// a request may wait for it for no longer than two.
TEST(reach, a_silent_engine_on_a_punctual_host_is_lost_after_two_polls)
{
    EXPECT_EQ(polls_until_lost(poll_end::silent, punctual), 2U);
}

// Where the agent itself runs late, its engine answers late as well, and what it runs must not be
// given up for that.
TEST(reach, a_silent_engine_on_a_starved_host_has_eight_polls)
{
    EXPECT_EQ(polls_until_lost(poll_end::silent, late), 8U);
}

TEST(reach, refusals_and_strangers_count_whatever_the_host_does)
{
    EXPECT_EQ(polls_until_lost(poll_end::refused, late), 2U);
    EXPECT_EQ(polls_until_lost(poll_end::other_engine, late), 1U);
}

TEST(reach, an_answer_ends_all_doubt)
{
    reach state;
    note_poll(state, poll_end::silent, punctual);
    note_poll(state, poll_end::answered, punctual);
    note_poll(state, poll_end::silent, punctual);
    EXPECT_FALSE(state.m_is_lost);
    note_poll(state, poll_end::silent, punctual);
    EXPECT_TRUE(state.m_is_lost);
    note_poll(state, poll_end::answered, late);
    EXPECT_FALSE(state.m_is_lost);
}

}  // namespace
}  // namespace dewbeam::engine
