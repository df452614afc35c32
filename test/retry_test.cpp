// The budget of retries, and which attempts may run again.
#include "dewbeam/retry"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::retry {
namespace {

RC_GTEST_PROP(retry, retries_stay_below_their_share, (const std::vector<bool>& events))
{
    const budget_options options;
    budget subject;
    random_engine random(1);
    for (const bool is_first : events) {
        is_first ? count_first_try(subject, options)
                 : static_cast<void>(take_retry(subject, options, random));
        const double most = first_retries + options.m_share * double(subject.m_first_tries);
        RC_ASSERT(double(subject.m_retries) <= most + 1e-9);
        RC_ASSERT(subject.m_tokens <= options.m_burst);
    }
}

TEST(retry, only_what_never_ran_or_may_run_twice_is_safe)
{
    EXPECT_TRUE(is_safe_to_retry(attempt_end::not_run, false));
    EXPECT_FALSE(is_safe_to_retry(attempt_end::unknown, false));
    EXPECT_FALSE(is_safe_to_retry(attempt_end::upstream_died, false));
    EXPECT_TRUE(is_safe_to_retry(attempt_end::unknown, true));
    EXPECT_TRUE(is_safe_to_retry(attempt_end::upstream_died, true));
    EXPECT_FALSE(is_safe_to_retry(attempt_end::completed, true));
    EXPECT_FALSE(is_safe_to_retry(attempt_end::cancelled, true));
}

}  // namespace
}  // namespace dewbeam::retry
