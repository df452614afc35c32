// What upstreams say of themselves in their answers: how it is read and what it binds.
#include <gtest/gtest.h>

#include "dewbeam/http"
#include "platform/call_codec.h"

namespace dewbeam {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

std::optional<http::retry_after> read(const std::string& value, const std::string& date = "")
{
    http::fields head{{"Content-Length", "0"}, {"retry-after", value}};
    if (!date.empty()) {
        head.push_back({"Date", date});
    }
    return http::read_retry_after(head);
}

TEST(retry_after, reads_seconds_with_decimals_and_bounds_huge_ones)
{
    EXPECT_FALSE(http::read_retry_after({{"Content-Length", "0"}}));
    EXPECT_EQ(read("3")->m_span, seconds(3));
    EXPECT_EQ(read(" 2.5 ")->m_span, milliseconds(2500));
    EXPECT_EQ(read("0")->m_span, time_span::zero());
    EXPECT_EQ(read("99999999999999999999")->m_span, http::max_retry_after);
}

TEST(retry_after, values_that_are_no_span_are_present_but_unreadable)
{
    for (const char* value : {"", "soon", "-5", "1e99", "nan", "inf", "3 s", "1.2.3", ".", "+3"}) {
        const auto found = read(value);
        ASSERT_TRUE(found) << value;
        EXPECT_FALSE(found->m_span) << value;
    }
}

TEST(retry_after, reads_a_date_against_the_date_of_the_answer)
{
    const std::string until = "Fri, 04 Dec 2026 10:00:07 GMT";
    EXPECT_EQ(read(until, "Fri, 04 Dec 2026 10:00:00 GMT")->m_span, seconds(7));
    EXPECT_EQ(read(until, "Fri, 04 Dec 2026 10:00:09 GMT")->m_span, time_span::zero());
    EXPECT_FALSE(read(until)->m_span);
}

TEST(upstream_notice, is_read_from_a_503_and_from_any_answer)
{
    const http::fields head{{"Retry-After", "3"}, {"server-leaving", "1"}};
    const auto refused = platform::read_answer_head(503, head);
    EXPECT_EQ(refused.m_backoff->m_span, seconds(3));
    EXPECT_TRUE(refused.m_is_leaving);
    const auto answered = platform::read_answer_head(200, head);
    EXPECT_FALSE(answered.m_backoff);
    EXPECT_TRUE(answered.m_is_leaving);
    EXPECT_FALSE(platform::read_answer_head(200, {{"Server-Leaving", "0"}}).m_is_leaving);
}

}  // namespace
}  // namespace dewbeam
