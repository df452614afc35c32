// The engine model: batching, memory, priorities, cache and crashes.
#include "dewbeam/engine_model"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

namespace dewbeam::engine_model {
namespace {

engine_request make_request(std::uint64_t number, std::int64_t prompt, std::int64_t output)
{
    engine_request result;
    result.m_number = number;
    result.m_prompt = prompt;
    result.m_output = output;
    result.m_output_bound = output;
    return result;
}

std::vector<engine_event> run_until_idle(engine& subject)
{
    std::vector<engine_event> events;
    time_point now{};
    while (!is_idle(subject)) {
        now = step(subject, now, events);
    }
    return events;
}

TEST(engine_model, step_time_is_that_of_the_slowest_rank)
{
    std::vector<time_point> ends;
    for (const double slowest : {1.0, 3.0}) {
        auto subject = make_engine({});
        subject.m_slowest_rank = slowest;
        add(subject, make_request(1, 100, 10));
        ends.push_back(run_until_idle(subject).back().m_at);
    }
    EXPECT_NEAR(static_cast<double>(ends[1].time_since_epoch().count()) /
                    static_cast<double>(ends[0].time_since_epoch().count()),
                3.0, 0.01);
}

TEST(engine_model, a_cached_prefix_is_not_computed_again)
{
    auto subject = make_engine({});
    auto request = make_request(1, 640, 1);
    for (std::uint64_t block = 1; block <= 10; ++block) {
        request.m_prefix.push_back(block);
    }
    add(subject, request);
    run_until_idle(subject);
    EXPECT_EQ(subject.m_computed, 640U);
    request.m_number = 2;
    request.m_prompt = 700;
    add(subject, request);
    run_until_idle(subject);
    EXPECT_EQ(subject.m_computed, 640U + 60U);
}

TEST(engine_model, urgent_requests_start_first)
{
    engine_options options;
    options.m_most_running = 1;
    auto subject = make_engine(options);
    add(subject, make_request(1, 10, 5));
    add(subject, make_request(2, 10, 5));
    auto urgent = make_request(3, 10, 5);
    urgent.m_is_urgent = true;
    add(subject, urgent);
    EXPECT_EQ(run_until_idle(subject).front().m_number, 3U);
}

TEST(engine_model, urgent_prompts_are_computed_first)
{
    auto subject = make_engine({});
    add(subject, make_request(1, 2000, 5));
    std::vector<engine_event> events;
    const auto now = step(subject, time_point{}, events);
    auto urgent = make_request(2, 200, 5);
    urgent.m_is_urgent = true;
    add(subject, urgent);
    step(subject, now, events);
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().m_number, 2U);
}

TEST(engine_model, poison_crashes_and_a_crash_loses_all)
{
    auto subject = make_engine({});
    add(subject, make_request(1, 10, 50));
    auto poison = make_request(2, 10, 50);
    poison.m_is_poison = true;
    add(subject, poison);
    std::vector<engine_event> events;
    step(subject, time_point{}, events);
    EXPECT_EQ(events.back().m_kind, engine_event::kind::crashed);
    EXPECT_EQ(crash(subject).size(), 2U);
    EXPECT_TRUE(is_idle(subject));
    EXPECT_EQ(free_kv(subject), subject.m_options.m_kv.m_total);
}

RC_GTEST_PROP(engine_model, memory_is_never_exceeded_and_all_requests_end,
              (std::uint64_t seed, bool is_optimistic))
{
    random_engine random(seed);
    engine_options options;
    options.m_kv = {{4000}, is_optimistic ? 0.0 : 1.0};
    auto subject = make_engine(options);
    std::map<std::uint64_t, int> ended;
    for (std::uint64_t number = 1; number <= 40; ++number) {
        const auto prompt = static_cast<std::int64_t>(1 + uniform_below(random, 1500));
        const auto output = static_cast<std::int64_t>(1 + uniform_below(random, 500));
        add(subject, make_request(number, prompt, output));
    }
    time_point now{};
    while (!is_idle(subject)) {
        std::vector<engine_event> events;
        now = step(subject, now, events);
        RC_ASSERT(free_kv(subject).m_count >= 0);
        for (const auto& event : events) {
            ended[event.m_number] += event.m_kind == engine_event::kind::completed ? 1 : 0;
        }
    }
    RC_ASSERT(ended.size() == 40U);
    for (const auto& item : ended) {
        RC_ASSERT(item.second == 1);
    }
    RC_ASSERT(is_optimistic || subject.m_evictions == 0U);
}

}  // namespace
}  // namespace dewbeam::engine_model
