// Who pays when callers hold more memory than their process has for them.
#include "dewbeam/src/http/held_memory.h"

#include <gtest/gtest.h>

namespace dewbeam::http {
namespace {

constexpr std::size_t kib = 1024;
constexpr std::size_t budget_bytes = 100 * kib;
using part = held_memory::part;

/// A connection that counts how often it was told to free memory.
struct connection {
    explicit connection(const std::shared_ptr<memory_budget>& budget)
        : m_held(budget, [this] { ++m_told; })
    {
    }

    int m_told = 0;
    held_memory m_held;
};

class held_memory_test : public testing::Test {
protected:
    std::shared_ptr<memory_budget> m_budget = std::make_shared<memory_budget>(budget_bytes);
    connection m_first{m_budget};
    connection m_second{m_budget};
    connection m_third{m_budget};
};

TEST_F(held_memory_test, the_connection_that_holds_most_is_told_to_free_it)
{
    m_first.m_held.set(part::reading, 60 * kib);
    m_second.m_held.set(part::reading, 30 * kib);
    m_third.m_held.set(part::reading, 20 * kib);
    EXPECT_EQ(m_first.m_told, 1);
    EXPECT_EQ(m_second.m_told + m_third.m_told, 0);
    EXPECT_TRUE(m_first.m_held.must_free());
}

TEST_F(held_memory_test, what_is_about_to_be_freed_ends_no_other)
{
    m_first.m_held.set(part::reading, 60 * kib);
    m_second.m_held.set(part::reading, 50 * kib);
    m_third.m_held.set(part::reading, 40 * kib);
    EXPECT_EQ(m_first.m_told, 1);
    EXPECT_EQ(m_second.m_told + m_third.m_told, 0);
}

TEST_F(held_memory_test, small_connections_take_no_share)
{
    m_first.m_held.set(part::reading, budget_bytes);
    m_second.m_held.set(part::reading, unbudgeted_connection_bytes);
    EXPECT_EQ(m_budget->held_bytes(), budget_bytes);
    EXPECT_EQ(m_first.m_told + m_second.m_told, 0);
}

TEST_F(held_memory_test, a_request_that_runs_is_kept_and_the_one_that_comes_pays)
{
    EXPECT_TRUE(m_first.m_held.begin_request(90 * kib));
    m_second.m_held.set(part::reading, 20 * kib);
    EXPECT_EQ(m_first.m_told, 0);
    EXPECT_EQ(m_second.m_told, 1);
    EXPECT_FALSE(m_second.m_held.begin_request(20 * kib));
}

TEST_F(held_memory_test, an_answer_that_nobody_takes_is_freed)
{
    EXPECT_TRUE(m_first.m_held.begin_request(20 * kib));
    m_first.m_held.set(part::answer, 50 * kib);
    m_second.m_held.set(part::reading, 40 * kib);
    EXPECT_EQ(m_first.m_told, 1);
    EXPECT_EQ(m_second.m_told, 0);
}

TEST_F(held_memory_test, the_budget_is_whole_again_once_all_is_freed)
{
    {
        connection large(m_budget);
        large.m_held.set(part::reading, 2 * budget_bytes);
        EXPECT_EQ(large.m_told, 1);
    }
    EXPECT_EQ(m_budget->held_bytes(), 0U);
    m_first.m_held.set(part::reading, budget_bytes);
    EXPECT_EQ(m_first.m_told, 0);
}

}  // namespace
}  // namespace dewbeam::http
