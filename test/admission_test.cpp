// Limits of the entry's queue and the engine's memory.
#include "dewbeam/admission"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace dewbeam::admission {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{};

/// A meter that saw `rate` cost a second drain while something waited.
drain_meter make_meter(double rate)
{
    drain_meter meter;
    advance(meter, true, start + seconds(1));
    note_drained(meter, rate);
    advance(meter, true, start + seconds(2));
    return meter;
}

TEST(queue_limit, expected_wait_comes_from_the_drain_rate)
{
    const auto meter = make_meter(100);
    EXPECT_EQ(expected_wait({0, 0, 0.0, 1.0, {}}, meter), time_span::zero());
    EXPECT_EQ(expected_wait({9, 9, 300.0, 1.0, {}}, meter), seconds(3));
    EXPECT_EQ(expected_wait({9, 9, 300.0, 0.5, {}}, meter), seconds(6));
    EXPECT_EQ(expected_wait({9, 9, 300.0, 1.0, {}}, {}), time_span::zero());
}

TEST(queue_limit, refuses_beyond_the_deadline_the_budget_and_the_room)
{
    const queue_options options;
    const auto meter = make_meter(100);
    const queue_facts facts{9, 9, 300.0, 1.0, seconds(1)};
    EXPECT_TRUE(may_wait(facts, options, meter, start, start + seconds(4)));
    EXPECT_FALSE(may_wait(facts, options, meter, start, start + milliseconds(3900)));
    EXPECT_FALSE(may_wait({9, 9, 600.0, 1.0, {}}, options, meter, start, no_deadline));
    EXPECT_FALSE(may_wait({6000, 5000, 1.0, 1.0, {}}, options, meter, start, no_deadline));
    EXPECT_TRUE(may_wait({6000, 0, 1.0, 1.0, {}}, options, meter, start, no_deadline));
}

TEST(queue_limit, refused_callers_come_back_one_after_the_other)
{
    const queue_options options;
    const auto meter = make_meter(100);
    return_line line;
    random_engine random(1);
    time_point last = start;
    for (int i = 1; i <= 100; ++i) {
        next_return(line, options, meter, 50.0, seconds(2), start, random);
        EXPECT_GT(line.m_end, last);
        last = line.m_end;
    }
    EXPECT_EQ(line.m_end, start + seconds(52));
    const auto told = next_return(line, options, meter, 1e9, seconds(2), start, random);
    EXPECT_GE(told, start + options.m_longest_return);
    EXPECT_LE(told, start + options.m_longest_return * 6 / 5);
}

RC_GTEST_PROP(kv_memory, is_never_exceeded_and_the_full_bound_never_evicts,
              (std::uint64_t seed, std::uint8_t share))
{
    random_engine random(seed);
    kv_memory memory;
    memory.m_options = {{2000}, (share % 3) / 2.0};
    std::map<std::uint64_t, std::int64_t> left;  // output that each running request may produce
    for (std::uint64_t owner = 1; owner <= 300; ++owner) {
        const auto prompt = static_cast<std::int64_t>(1 + uniform_below(random, 400));
        const auto bound = static_cast<std::int64_t>(1 + uniform_below(random, 400));
        if (reserve(memory, kv_owner{owner}, {prompt}, {bound}) == kv_outcome::granted) {
            left[owner] = bound;
        }
        for (auto place = left.begin(); place != left.end();) {
            const auto number = place->first;
            const bool is_done = place->second-- == 0;
            ++place;
            if (is_done) {
                release(memory, kv_owner{number});
                left.erase(number);
                continue;
            }
            const auto evicted = grow(memory, kv_owner{number}, {1});
            RC_ASSERT(evicted.empty() || memory.m_options.m_output_share < 1.0);
            if (!evicted.empty()) {
                for (const auto gone : evicted) {
                    left.erase(gone.value());
                }
                place = left.begin();
                break;
            }
        }
        RC_ASSERT(memory.m_reserved <= memory.m_options.m_total);
        RC_ASSERT(memory.m_grants.size() == left.size());
    }
}

TEST(kv_memory, what_can_never_fit_is_said_at_once)
{
    kv_memory memory;
    memory.m_options = {{100}, 0.0};
    EXPECT_EQ(reserve(memory, kv_owner{1}, {60}, {50}), kv_outcome::never);
    EXPECT_EQ(reserve(memory, kv_owner{1}, {60}, {40}), kv_outcome::granted);
    EXPECT_EQ(reserve(memory, kv_owner{2}, {60}, {40}), kv_outcome::wait);
}

}  // namespace
}  // namespace dewbeam::admission
