// Intake of an entry: its ids are distinct from those of other entries, and a request whose caller
// has disconnected doesn't keep occupying a slot at an upstream.
#include <gtest/gtest.h>

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

    program::program m_frame;
    entry_state m_state;
};

TEST_F(entry_intake, a_request_whose_caller_left_while_it_was_classified_anew_keeps_no_place)
{
    entry_request::facts known;
    known.m_ticket = dispatch::ticket(++m_state.m_last_ticket);
    known.m_call.m_model = model_id("m");
    known.m_caller_model = known.m_call.m_model;
    known.m_arrival = program::now();
    auto answer = std::make_shared<recording_exchange>();
    answer->m_is_gone = true;
    const request_pointer request(new entry_request(std::move(known), answer));
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
