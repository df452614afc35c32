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
    return {{}, key, attempt(number), host_id("a"), fingerprint(content), now, now + hours(24)};
}

claim_report report_of(std::uint64_t number, outcome result, time_point now = {})
{
    claim_report made{key, attempt(number), result, {}, now, now + hours(24), {}};
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

constexpr std::uint64_t attempts = 12;

/// A call that claims: two for each attempt, through two control hosts.
struct claim_call {
    consensus::command m_command;
    bool m_is_answered = false;
    bool m_is_given_up = false;
};

/// Calls, reports and withdrawals in any order, each late and twice at will; follows what runs.
class caller_model {
public:
    explicit caller_model(std::uint64_t seed) : m_random(seed)
    {
        for (std::uint64_t i = 0; i < 2 * attempts; ++i) {
            auto wanted = claim_of(i / 2);
            wanted.m_key = key_of(i / 2);
            wanted.m_proposal = {i % 2, incarnation(1), i + 1};
            claim_call call;
            call.m_command = {{consensus::replica_id(i % 2), incarnation(1), i + 1}, wanted};
            m_calls.push_back(call);
        }
    }

    consensus::command draw()
    {
        const auto number = uniform_below(m_random, m_calls.size());
        auto& call = m_calls[number];
        switch (uniform_below(m_random, 4)) {
            case 0:
                return report(number / 2);
            case 1:
                if (!call.m_is_answered) {
                    call.m_is_given_up = true;
                    return withdrawal(call);
                }
                [[fallthrough]];
            default:
                return call.m_command;
        }
    }

    /// The log applied a command; an attempt runs once a call that waits hears `granted`.
    void see(const consensus::command& applied, const consensus::command_result& result)
    {
        if (const auto* got = std::get_if<verdict>(&result)) {
            auto& call = m_calls[applied.m_id.m_number - 1];
            if (!call.m_is_given_up && !call.m_is_answered) {
                call.m_is_answered = true;
                run(std::get<claim>(applied.m_body), *got);
            }
            return;
        }
        const auto& ended = std::get<claim_report>(applied.m_body);
        const auto place = m_running.find(ended.m_key);
        if (!ended.m_withdraws && ended.m_outcome == outcome::not_run && place != m_running.end() &&
            place->second == ended.m_attempt) {
            m_running.erase(place);
        }
    }

private:
    static claim_key key_of(std::uint64_t number) { return claim_key(std::to_string(number % 2)); }

    /// An agent says `not_run` only of an attempt that never ran to another end.
    consensus::command report(std::uint64_t number)
    {
        const auto [place, is_first] =
            m_ends.emplace(number, static_cast<outcome>(uniform_below(m_random, 3)));
        auto made = report_of(number, place->second);
        made.m_key = key_of(number);
        return {{}, made};
    }

    static consensus::command withdrawal(const claim_call& call)
    {
        const auto& wanted = std::get<claim>(call.m_command.m_body);
        claim_report made;
        made.m_key = wanted.m_key;
        made.m_attempt = wanted.m_attempt;
        made.m_outcome = outcome::not_run;
        made.m_forget_at = wanted.m_forget_at;
        made.m_withdraws = wanted.m_proposal;
        return {call.m_command.m_id, made};
    }

    void run(const claim& wanted, const verdict& got)
    {
        const auto end = m_ends.find(wanted.m_attempt.m_sequence);
        const bool is_tombstoned = end != m_ends.end() && end->second == outcome::not_run;
        if (got.m_decision != decision::granted || is_tombstoned) {
            return;  // the agent refuses a tombstoned attempt
        }
        const auto [place, is_first] = m_running.emplace(wanted.m_key, wanted.m_attempt);
        RC_ASSERT(place->second == wanted.m_attempt);
    }

    random_engine m_random;
    std::vector<claim_call> m_calls;
    std::map<std::uint64_t, outcome> m_ends;
    std::map<claim_key, attempt_id> m_running;
};

RC_GTEST_PROP(claims, a_key_runs_at_most_once_in_any_interleaving, (std::uint64_t seed))
{
    caller_model callers(seed);
    consensus::replicated_state state;
    consensus::replicated_state copy;  // restored from a snapshot again and again
    for (std::uint64_t index = 1; index < 100; ++index) {
        const auto wanted = callers.draw();
        const auto decoded = control::decode_command(control::encode(wanted));
        RC_ASSERT(decoded.ok());
        callers.see(wanted, consensus::apply(state, *decoded, {1, index}));
        consensus::apply(copy, wanted, {1, index});
        auto restored = control::decode_state(control::encode(copy));
        RC_ASSERT(restored.ok());
        copy = *std::move(restored);
    }
    RC_ASSERT(copy.m_claims == state.m_claims);
    RC_ASSERT(control::encode(copy) == control::encode(state));
}

/// The first call was given up, the second was granted: the withdrawal must not free the key.
TEST(claims, a_withdrawn_call_frees_no_key_that_another_call_holds)
{
    for (const bool first_arrives : {true, false}) {
        table state;
        auto first = claim_of(1);
        first.m_proposal.m_number = 1;
        auto second = claim_of(1);
        second.m_proposal.m_number = 2;
        auto withdrawal = report_of(1, outcome::not_run);
        withdrawal.m_withdraws = first.m_proposal;
        if (first_arrives) {
            apply(state, first);
        }
        EXPECT_EQ(apply(state, second).m_decision, decision::granted);
        apply(state, withdrawal);
        EXPECT_EQ(apply(state, claim_of(2)).m_decision, decision::running);
    }
}

RC_GTEST_PROP(claims, decoders_take_any_bytes, (std::string bytes, std::uint64_t seed))
{
    random_engine random(seed);
    consensus::replicated_state state;
    caller_model callers(seed);
    for (std::uint64_t index = 1; index < 20; ++index) {
        consensus::apply(state, callers.draw(), {1, index});
    }
    auto text = control::encode(state);
    for (int i = 0; i < 5; ++i) {
        text[uniform_below(random, text.size())] = static_cast<char>(random());
    }
    auto command = control::encode(callers.draw());
    command[uniform_below(random, command.size())] = static_cast<char>(random());
    for (const auto& input : {bytes, text, command}) {
        if (auto known = control::decode_command(input); known.ok()) {
            consensus::apply(state, *known, {2, 1});
        }
        if (auto known = control::decode_state(input); known.ok()) {
            consensus::apply(*known, callers.draw(), {2, 1});
        }
        wire::ConsensusMessage message;
        if (message.ParseFromString(input)) {
            (void)control::from_wire(message);
        }
    }
}

}  // namespace
}  // namespace dewbeam::claims
