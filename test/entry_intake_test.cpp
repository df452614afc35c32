// Intake of an entry: its ids are distinct from those of other entries, and a request whose caller
// has disconnected doesn't keep occupying a slot at an upstream.
#include <gtest/gtest.h>

#include "dewbeam/src/consensus/confirmed_time.h"
#include "dewbeam/src/entry/intake.h"
#include "test/entry_site.h"
#include "test/recording_exchange.h"

namespace dewbeam::entry {
namespace {

using test::adopt_chat_route;
using test::entry_settings;
using test::recording_exchange;

class entry_intake : public testing::Test {
protected:
    entry_intake() : m_frame(entry_settings()), m_state(m_frame, entry_settings(), [] {})
    {
        adopt_chat_route(m_state);
        dispatch::upstream_info upstream;
        upstream.m_name = upstream_id("u1");
        upstream.m_labels.set("pool", "chat");
        m_state.m_pools.update_upstream(model_pool(model_id("m")), upstream, program::now());
    }

    /// Classifies a request of the model once more; gives its answer.
    std::shared_ptr<recording_exchange> classify_anew(const std::string& model)
    {
        entry_request::facts known;
        known.m_ticket = dispatch::ticket(++m_state.m_last_ticket);
        known.m_call.m_model = model_id(model);
        known.m_caller_model = known.m_call.m_model;
        known.m_arrival = program::now();
        auto answer = std::make_shared<recording_exchange>();
        const request_pointer request(
            new entry_request(std::move(known), answer, m_state.m_answer_budget));
        m_state.m_requests.add(request);
        resubmit(m_state, request, {}, program::now());
        return answer;
    }

    /// Delivers a control's answer: `index` was the newest version `age` before the question.
    void confirm(std::uint64_t index, time_span age)
    {
        const auto now = program::now();
        wire::Configuration answer;
        answer.mutable_version()->set_term(1);
        answer.mutable_version()->set_index(index);
        answer.set_subscribe_sent_at(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        answer.set_confirmed_age_us(consensus::to_age_us(age));
        m_state.m_configuration.take_confirmation(answer, now);
    }

    program::program m_frame;
    entry_state m_state;
};

// Guards against 404 for a selector of an accepted configuration that this entry lacks.
TEST_F(entry_intake, a_request_is_refused_for_good_only_by_a_configuration_confirmed_lately)
{
    EXPECT_EQ(classify_anew("other")->m_status, 503);
    confirm(1, std::chrono::seconds(3));
    EXPECT_EQ(classify_anew("other")->m_status, 503);
    confirm(1, std::chrono::milliseconds(500));
    EXPECT_EQ(classify_anew("other")->m_status, 404);
    confirm(2, std::chrono::milliseconds(100));
    EXPECT_EQ(classify_anew("other")->m_status, 503) << "version 2 has not arrived";
}

TEST_F(entry_intake, a_request_whose_caller_left_while_it_was_classified_anew_keeps_no_place)
{
    entry_request::facts known;
    known.m_ticket = dispatch::ticket(++m_state.m_last_ticket);
    known.m_call.m_model = model_id("m");
    known.m_caller_model = known.m_call.m_model;
    known.m_arrival = program::now();
    auto answer = std::make_shared<recording_exchange>();
    answer->m_is_gone = true;
    const request_pointer request(
        new entry_request(std::move(known), answer, m_state.m_answer_budget));
    m_state.m_requests.add(request);
    resubmit(m_state, request, {}, program::now());
    EXPECT_EQ(m_state.m_requests.size(), 0U);
    EXPECT_EQ(m_state.m_pools.in_flight(), 0U);
}

// Two entries with the same ids would share the record of a key at control, which would then let a
// non-idempotent call run twice. They would also share each other's attempts at agents.
TEST(entry_ids, entries_that_started_at_the_same_time_give_different_ids)
{
    auto other_settings = entry_settings();
    other_settings["host"] = "e2";
    program::program frame(entry_settings());
    entry_state first(frame, entry_settings(), [] {});
    entry_state second(frame, other_settings, [] {});
    second.m_incarnation = first.m_incarnation;
    EXPECT_NE(next_attempt_id(first), next_attempt_id(second));
    EXPECT_NE(request_id_of(first, dispatch::ticket(1)),
              request_id_of(second, dispatch::ticket(1)));
}

}  // namespace
}  // namespace dewbeam::entry
