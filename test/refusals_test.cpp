// The errors that callers receive when a request is refused.
#include "dewbeam/src/entry/refusals.h"

#include <gtest/gtest.h>

namespace dewbeam::entry {
namespace {

using dispatch::refusal;

constexpr refusal all_refusals[] = {refusal::no_able_upstream, refusal::overloaded,
                                    refusal::deadline_passed,  refusal::retries_exhausted,
                                    refusal::maybe_run,        refusal::quarantined};

dispatch::action refuse(refusal reason, time_point retry_at)
{
    dispatch::action result;
    result.m_kind = dispatch::action::kind::refuse;
    result.m_refusal = reason;
    result.m_retry_at = retry_at;
    return result;
}

/// Statuses that callers take as a promise that the request was not run.
bool is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

TEST(refusals, nothing_that_may_have_run_is_said_to_be_not_run)
{
    const time_point now{};
    for (const auto reason : all_refusals) {
        const auto fault = to_error(refuse(reason, now + std::chrono::seconds(2)), true, now);
        EXPECT_EQ(fault.m_outcome, caller::run_outcome::unknown) << dispatch::to_string(reason);
        EXPECT_FALSE(is_promise(fault.m_status)) << fault.m_status;
        EXPECT_EQ(fault.m_retry_after, time_span::zero());
        EXPECT_STREQ(fault.m_code.c_str(), dispatch::to_string(reason));
    }
}

TEST(refusals, what_was_sent_nowhere_is_not_run_and_told_when_to_come_back)
{
    const time_point now{};
    for (const auto reason : all_refusals) {
        const auto fault = to_error(refuse(reason, now + std::chrono::seconds(2)), false, now);
        if (reason == refusal::maybe_run) {
            EXPECT_EQ(fault.m_outcome, caller::run_outcome::unknown);
            continue;
        }
        EXPECT_EQ(fault.m_outcome, caller::run_outcome::not_run) << dispatch::to_string(reason);
        EXPECT_EQ(fault.m_retry_after, std::chrono::seconds(2));
    }
}

}  // namespace
}  // namespace dewbeam::entry
