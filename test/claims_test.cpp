// Idempotency claims: a key runs at most once, in any interleaving.
#include "dewbeam/claims"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "dewbeam/src/control/wire.h"

namespace dewbeam::claims {
namespace {

using ledger::outcome;
using std::chrono::hours;

const claim_key key("k");

attempt_id attempt(std::uint64_t number)
{
    return {incarnation(1), number};
}

claim claim_of(std::uint64_t number, time_point now = {}, std::uint64_t content = 1)
{
    return {key, attempt(number), host_id("a"), fingerprint(content), now, now + hours(24)};
}

claim_report report_of(std::uint64_t number, outcome result, time_point now = {})
{
    claim_report made{key, attempt(number), result, {}, now, now + hours(24)};
    if (result == outcome::completed) {
        made.m_answer = kept_answer{200, {{"x", "y"}}, "done"};
    }
    return made;
}

TEST(claims, a_resend_gets_the_kept_answer)
{
    table state;
    EXPECT_EQ(apply(state, claim_of(1)).m_decision, decision::granted);
    EXPECT_EQ(apply(state, claim_of(2)).m_decision, decision::running);
    apply(state, report_of(1, outcome::completed));
    const auto again = apply(state, claim_of(3));
    EXPECT_EQ(again.m_decision, decision::finished);
    EXPECT_EQ(again.m_attempt, attempt(1));
    ASSERT_TRUE(again.m_answer);
    EXPECT_EQ(again.m_answer->m_body, "done");
    EXPECT_EQ(apply(state, claim_of(4, {}, 2)).m_decision, decision::mismatch);
}

TEST(claims, unknown_is_never_run_again_and_not_run_is)
{
    table state;
    apply(state, claim_of(1));
    apply(state, report_of(1, outcome::not_run));
    EXPECT_EQ(apply(state, claim_of(1)).m_decision, decision::withdrawn);
    EXPECT_EQ(apply(state, claim_of(2)).m_decision, decision::granted);
    apply(state, report_of(2, outcome::unknown));
    apply(state, report_of(2, outcome::not_run));
    EXPECT_EQ(apply(state, claim_of(3)).m_decision, decision::unknown);
}

TEST(claims, a_report_before_its_claim_withdraws_it)
{
    table state;
    apply(state, report_of(1, outcome::not_run));
    EXPECT_EQ(apply(state, claim_of(1)).m_decision, decision::withdrawn);
    EXPECT_EQ(apply(state, claim_of(2)).m_decision, decision::granted);
}

TEST(claims, forgotten_after_the_retention_and_not_before)
{
    table state;
    apply(state, claim_of(1));
    apply(state, report_of(1, outcome::completed));
    EXPECT_EQ(apply(state, claim_of(2, time_point(hours(23)))).m_decision, decision::finished);
    EXPECT_EQ(apply(state, claim_of(3, time_point(hours(24)))).m_decision, decision::granted);
    EXPECT_EQ(state.m_claims.size(), 1U);
}

TEST(claims, a_late_clock_shortens_no_retention)
{
    table state;
    auto other = claim_of(9, time_point(hours(23)));
    other.m_key = claim_key("other");
    apply(state, other);
    apply(state, claim_of(1, time_point(hours(1))));
    EXPECT_EQ(apply(state, claim_of(2, time_point(hours(46)))).m_decision, decision::running);
    EXPECT_EQ(apply(state, claim_of(3, time_point(hours(47)))).m_decision, decision::granted);
}

TEST(claims, answers_are_evicted_and_claims_are_not)
{
    table state;
    const auto count = static_cast<std::uint64_t>(most_kept_bytes.m_count / 50'000 + 10);
    for (std::uint64_t i = 0; i < count; ++i) {
        auto wanted = claim_of(i);
        auto report = report_of(i, outcome::completed);
        wanted.m_key = report.m_key = claim_key(std::to_string(i));
        report.m_answer->m_body.assign(50'000, 'x');
        apply(state, wanted);
        apply(state, report);
    }
    EXPECT_LE(state.m_answer_bytes, most_kept_bytes);
    EXPECT_EQ(state.m_claims.size(), count);
    const auto oldest = look_up(state, claim_key("0"));
    EXPECT_EQ(oldest->m_decision, decision::finished);
    EXPECT_FALSE(oldest->m_answer);
    EXPECT_TRUE(look_up(state, claim_key(std::to_string(count - 1)))->m_answer);
}

/// A random command over few keys and attempts; claims and reports come late and twice.
consensus::command random_command(random_engine& random, time_point now)
{
    const auto number = uniform_below(random, 12);
    const claim_key chosen(std::to_string(number % 2));
    consensus::command made;
    if (uniform_below(random, 2) == 0) {
        auto wanted = claim_of(number, now);
        wanted.m_key = chosen;
        made.m_body = wanted;
    }
    else {
        auto report = report_of(number, static_cast<outcome>(uniform_below(random, 3)), now);
        report.m_key = chosen;
        made.m_body = report;
    }
    return made;
}

/// Follows who may run: one attempt a key, until it is reported as not run.
struct run_watch {
    std::map<claim_key, attempt_id> m_running;

    void see(const claim& wanted, const verdict& got)
    {
        if (got.m_decision != decision::granted) {
            return;
        }
        const auto [place, is_first] = m_running.emplace(wanted.m_key, wanted.m_attempt);
        RC_ASSERT(place->second == wanted.m_attempt);
    }
    void see(const claim_report& report)
    {
        const auto place = m_running.find(report.m_key);
        if (report.m_outcome == outcome::not_run && place != m_running.end() &&
            place->second == report.m_attempt) {
            m_running.erase(place);
        }
    }
};

RC_GTEST_PROP(claims, granted_to_one_attempt_in_any_interleaving, (std::uint64_t seed))
{
    random_engine random(seed);
    consensus::replicated_state state;
    consensus::replicated_state copy;  // restored from a snapshot again and again
    run_watch watch;
    std::map<claim_key, bool> ended;
    for (std::uint64_t index = 1; index < 200; ++index) {
        const auto wanted = random_command(random, time_point(std::chrono::seconds(index)));
        const auto decoded = control::decode_command(control::encode(wanted));
        RC_ASSERT(decoded.ok());
        const auto got = consensus::apply(state, *decoded, {1, index});
        consensus::apply(copy, wanted, {1, index});
        if (const auto* asked = std::get_if<claim>(&wanted.m_body)) {
            watch.see(*asked, std::get<verdict>(got));
        }
        else {
            const auto& report = std::get<claim_report>(wanted.m_body);
            const auto known = look_up(state.m_claims, report.m_key);
            const bool is_over = known && known->m_decision != decision::running;
            RC_ASSERT(!ended[report.m_key] || is_over);
            ended[report.m_key] = is_over;
            if (!is_over) {
                watch.see(report);
            }
        }
        auto restored = control::decode_state(control::encode(copy));
        RC_ASSERT(restored.ok());
        copy = *std::move(restored);
    }
    RC_ASSERT(copy.m_claims == state.m_claims);
    RC_ASSERT(control::encode(copy) == control::encode(state));
}

RC_GTEST_PROP(claims, decoders_take_any_bytes, (std::string bytes, std::uint64_t seed))
{
    random_engine random(seed);
    consensus::replicated_state state;
    for (std::uint64_t index = 1; index < 20; ++index) {
        consensus::apply(state, random_command(random, {}), {1, index});
    }
    auto text = control::encode(state);
    for (int i = 0; i < 5; ++i) {
        text[uniform_below(random, text.size())] = static_cast<char>(random());
    }
    auto command = control::encode(random_command(random, {}));
    command[uniform_below(random, command.size())] = static_cast<char>(random());
    for (const auto& input : {bytes, text, command}) {
        if (auto known = control::decode_command(input); known.ok()) {
            consensus::apply(state, *known, {2, 1});
        }
        if (auto known = control::decode_state(input); known.ok()) {
            consensus::apply(*known, random_command(random, {}), {2, 1});
        }
        wire::ConsensusMessage message;
        if (message.ParseFromString(input)) {
            (void)control::from_wire(message);
        }
    }
}

}  // namespace
}  // namespace dewbeam::claims
