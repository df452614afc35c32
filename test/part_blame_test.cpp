// Prompt parts that crash upstreams: which parts a request has, and what counts as evidence.
#include "dewbeam/src/gateway/part_blame.h"

#include <gtest/gtest.h>

#include <numeric>

#include "dewbeam/quarantine"

namespace dewbeam::gateway {
namespace {

using std::chrono::milliseconds;

constexpr time_point start{std::chrono::seconds(5)};

std::vector<fingerprint> keys_of(std::vector<std::uint64_t> parts, const std::string& pool = "a")
{
    caller_call call;
    call.m_prompt_parts = std::move(parts);
    return part_keys_of(call, pool);
}

TEST(part_blame, the_last_part_of_a_prompt_belongs_to_its_request_alone)
{
    EXPECT_TRUE(keys_of({}).empty());
    EXPECT_TRUE(keys_of({1}).empty());
    EXPECT_EQ(keys_of({1, 2, 3}), keys_of({1, 2, 4}));
    EXPECT_EQ(keys_of({1, 1, 3}).size(), 1U);
}

// Guards against a deadly part that is never learned because of its place in a long prompt.
TEST(part_blame, parts_far_behind_in_a_prompt_are_judged)
{
    std::vector<std::uint64_t> parts(64);
    std::iota(parts.begin(), parts.end(), 100);
    parts.push_back(1);
    const auto keys = keys_of(parts);
    ASSERT_EQ(keys.size(), 64U);
    EXPECT_EQ(keys.back(), keys_of({163, 1}).front());
}

TEST(part_blame, a_part_is_known_wherever_it_stands_and_apart_in_each_pool)
{
    EXPECT_EQ(keys_of({1, 2, 3}).front(), keys_of({5, 1, 3}).back());
    EXPECT_NE(keys_of({1, 2}), keys_of({1, 2}, "b"));
}

TEST(part_blame, only_an_answer_that_has_just_begun_is_evidence)
{
    sent_attempt sent;
    sent.m_parts = std::make_shared<const std::vector<part_evidence>>(1);
    EXPECT_FALSE(is_part_evidence(sent, std::nullopt, start));
    EXPECT_TRUE(is_part_evidence(sent, start, start + milliseconds(100)));
    EXPECT_FALSE(is_part_evidence(sent, start, start + std::chrono::seconds(1)));
    EXPECT_TRUE(has_outlived_crash(start, start + std::chrono::seconds(1)));
}

}  // namespace
}  // namespace dewbeam::gateway
