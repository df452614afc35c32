// Guards against refusing calls by an outdated configuration while a newer one is being fetched, or
// by one that no quorum of registries has confirmed lately, and against calls of disconnected
// callers that keep occupying a slot of an upstream.
#include "dewbeam/src/gateway/intake.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

#include "dewbeam/src/gateway/forwarder.h"
#include "dewbeam/src/gateway/gateway_state.h"
#include "platform/formats.h"
#include "test/gateway_site.h"
#include "test/recording_exchange.h"

namespace dewbeam::gateway {
namespace {

using test::recording_exchange;

/// A gateway that knows the first configuration from a registry that no quorum has confirmed.
class unconfirmed_intake : public testing::Test {
protected:
    unconfirmed_intake()
        : m_frame(test::gateway_settings()),
          m_state(m_frame, test::gateway_settings(), platform::wire_format(),
                  test::silent_feed_handlers())
    {
        adopt(1, {"/old/"});
    }

    void adopt(std::uint64_t revision, const std::vector<std::string>& prefixes)
    {
        auto read =
            m_state.m_format.m_read_book(test::gateway_configuration(revision, prefixes).dump());
        auto fresh = std::make_shared<routes::book>(std::move(read).value());
        routes::index(*fresh);
        m_state.m_book.adopt(std::move(fresh));
        release_held_calls(m_state);
    }

    /// Delivers a registry message that reports `revision` as the newest.
    void report_newest(std::uint64_t revision)
    {
        wire::Envelope message;
        message.set_log(1);
        message.mutable_watch_news()->set_newest_revision(revision);
        m_state.m_feed.take({"tcp://127.0.0.1:7000", {}}, message, program::now());
    }

    /// Delivers a registry's answer that a quorum confirmed `revision` as the newest at
    /// `confirmed_at`.
    void confirm(std::uint64_t revision, time_point confirmed_at)
    {
        const auto now = program::now();
        wire::Envelope message;
        message.set_log(1);
        auto& news = *message.mutable_watch_news();
        news.set_newest_revision(revision);
        news.set_watch_sent_at(static_cast<std::uint64_t>(now.time_since_epoch().count()));
        news.set_confirmed_age_us(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(now - confirmed_at).count()));
        m_state.m_feed.take({"tcp://127.0.0.1:7000", {}}, message, now);
        release_held_calls(m_state);
    }

    /// Adds an upstream of the service with one slot.
    void add_upstream(registry::upstream_state phase = registry::upstream_state::ready)
    {
        registry::announcement known;
        known.m_name = upstream_id("u1");
        known.m_service = "chat";
        known.m_address = {"127.0.0.1", 9};
        known.m_state = phase;
        m_state.m_upstreams.put(known, false, program::now());
        update_broker(m_state, known.m_name, program::now());
    }

    std::uint32_t sent() const { return m_state.m_upstreams.loads().front().m_in_flight; }

    std::shared_ptr<recording_exchange> send_call(const std::string& path,
                                                  const std::string& key = "key-1",
                                                  bool is_gone = false)
    {
        http::request wanted;
        wanted.m_method = "GET";
        wanted.m_target = path;
        wanted.m_fields = {
            {"Host", "api.example"}, {"Attempt-Id", "a1"}, {"Authorization", "Bearer " + key}};
        auto answer = std::make_shared<recording_exchange>();
        answer->m_is_gone = is_gone;
        receive_call(m_state, std::move(wanted), answer);
        return answer;
    }

    program::program m_frame;
    gateway_state m_state;
};

class intake : public unconfirmed_intake {
protected:
    intake() { confirm(1, program::now()); }
};

TEST_F(unconfirmed_intake, a_call_is_admitted_but_not_refused)
{
    EXPECT_EQ(send_call("/new/x")->m_status, 503);
    EXPECT_EQ(send_call("/old/x", "key-2")->m_status, 503);
    EXPECT_EQ(send_call("/old/x")->m_status, 0);
    EXPECT_EQ(m_state.m_requests.size(), 1U);
}

TEST_F(unconfirmed_intake, a_refused_call_waits_for_a_recent_confirmation)
{
    confirm(1, program::now() - std::chrono::seconds(2));
    const auto answer = send_call("/new/x");
    const auto expired = send_call("/new/x");
    EXPECT_EQ(answer->m_status, 0);
    confirm(1, program::now());
    EXPECT_EQ(answer->m_status, 404);
    EXPECT_EQ(expired->m_status, 404);
    EXPECT_EQ(send_call("/new/x")->m_status, 404);
}

TEST_F(unconfirmed_intake, a_refused_call_waits_for_the_revision_that_a_quorum_confirmed)
{
    confirm(1, program::now() - std::chrono::seconds(2));
    const auto added = send_call("/new/x");
    const auto unknown = send_call("/nowhere/x");
    confirm(2, program::now());
    EXPECT_EQ(added->m_status, 0);
    EXPECT_EQ(unknown->m_status, 0);
    adopt(2, {"/old/", "/new/"});
    EXPECT_EQ(m_state.m_requests.size(), 1U);
    EXPECT_EQ(unknown->m_status, 404);
}

TEST_F(unconfirmed_intake, a_call_does_not_wait_for_a_confirmation_beyond_its_deadline)
{
    confirm(1, program::now() - std::chrono::seconds(2));
    const auto answer = send_call("/new/x");
    refuse_expired_calls(m_state, program::now());
    EXPECT_EQ(answer->m_status, 0);
    refuse_expired_calls(m_state, program::now() + std::chrono::seconds(2));
    EXPECT_EQ(answer->m_status, 503);
}

TEST_F(intake, a_call_is_refused_at_once_by_the_newest_configuration)
{
    EXPECT_EQ(send_call("/new/x")->m_status, 404);
    EXPECT_EQ(send_call("/old/x", "key-2")->m_status, 401);
}

TEST_F(intake, a_call_that_an_older_configuration_refuses_waits_for_the_newer_one)
{
    report_newest(3);
    const auto added = send_call("/new/x");
    const auto unknown = send_call("/nowhere/x");
    const auto bad_key = send_call("/old/x", "key-2");
    EXPECT_EQ(added->m_status, 0);
    EXPECT_EQ(unknown->m_status, 0);
    EXPECT_EQ(bad_key->m_status, 0);
    adopt(2, {"/old/"});
    EXPECT_EQ(added->m_status, 0) << "revision 3 has been reported";
    report_newest(4);
    adopt(3, {"/old/", "/new/"});
    EXPECT_EQ(added->m_status, 0) << "admitted, waiting for an upstream";
    EXPECT_EQ(m_state.m_requests.size(), 1U);
    EXPECT_EQ(unknown->m_status, 404) << "refused by the newest revision known at arrival";
    EXPECT_EQ(bad_key->m_status, 401);
}

TEST_F(intake, a_call_does_not_wait_for_a_newer_configuration_beyond_its_deadline)
{
    report_newest(2);
    const auto answer = send_call("/new/x");
    refuse_expired_calls(m_state, program::now());
    EXPECT_EQ(answer->m_status, 0);
    refuse_expired_calls(m_state, program::now() + std::chrono::seconds(2));
    EXPECT_EQ(answer->m_status, 503);
}

TEST_F(intake, a_stop_answers_the_calls_that_it_holds)
{
    report_newest(2);
    const auto answer = send_call("/new/x");
    fail_all_requests(m_state, program::now());
    EXPECT_EQ(answer->m_status, 503);
}

// Guards against a slot that stays occupied by a call whose caller disconnected before it was
// submitted.
TEST_F(intake, a_call_whose_caller_has_left_keeps_no_place)
{
    add_upstream();
    send_call("/old/x", "key-1", true);
    EXPECT_EQ(m_state.m_pools.in_flight(), 0U);
    send_call("/old/x");
    EXPECT_EQ(sent(), 1U) << "the upstream has one place, and nothing runs there";
}

// Guards against the same for calls that are held for a newer configuration.
TEST_F(intake, a_held_call_whose_caller_has_left_keeps_no_place)
{
    add_upstream();
    report_newest(2);
    const auto held = send_call("/new/x");
    held->m_is_gone = true;
    adopt(2, {"/old/", "/new/"});
    EXPECT_EQ(m_state.m_pools.in_flight(), 0U);
    send_call("/old/x");
    EXPECT_EQ(sent(), 1U);
}

// Guards against a broker that keeps an outdated state of an upstream after two threads updated it
// concurrently: it would send to an upstream that is leaving, or avoid one that is ready.
TEST_F(intake, what_the_broker_sees_last_of_an_upstream_is_the_newest)
{
    constexpr int rounds = 3000;
    std::atomic<bool> is_over = false;
    std::thread other([&] {
        while (!is_over) {
            update_broker(m_state, upstream_id("u1"), program::now());
        }
    });
    int sent_while_leaving = 0;
    for (int round = 0; round < rounds; ++round) {
        add_upstream();
        add_upstream(registry::upstream_state::leaving);
        const auto answer = send_call("/old/x");
        sent_while_leaving += m_state.m_pools.in_flight() > 0 ? 1 : 0;
        for (const auto& request : m_state.m_requests.all()) {
            handle_caller_disconnect(m_state, request, program::now());
        }
    }
    is_over = true;
    other.join();
    EXPECT_EQ(sent_while_leaving, 0);
}

}  // namespace
}  // namespace dewbeam::gateway
