// Attempts of an entry when links to agents are lost or agents answer late.
#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>

#include "dewbeam/src/entry/attempts.h"
#include "dewbeam/src/entry/intake.h"
#include "dewbeam/src/entry/member_feed.h"
#include "dewbeam/src/entry/messages.h"
#include "dewbeam/src/entry/status_page.h"
#include "test/entry_site.h"
#include "test/recording_exchange.h"

namespace dewbeam::entry {
namespace {

using test::adopt_chat_route;
using test::entry_settings;
using test::recording_exchange;

std::unique_ptr<link::node> start_node(const char* host, link::node_handlers handlers)
{
    link::node_options options;
    options.m_listen = {"127.0.0.1", 0};
    options.m_host = host_id(host);
    options.m_incarnation = incarnation(1);
    return link::node::start(options, std::move(handlers)).value();
}

/// An agent that only records the messages that it receives.
class recording_agent {
public:
    explicit recording_agent(const char* host)
        : m_node(start_node(host, {[this](const link::peer&, wire::Envelope&& message) {
                                       const std::lock_guard lock(m_mutex);
                                       m_messages.push_back(std::move(message));
                                       m_changed.notify_all();
                                   },
                                   [](const std::vector<link::peer>&) {}}))
    {
    }

    [[nodiscard]] const std::string& address() const { return m_node->address(); }

    /// The attempt of the first message in which `pick` finds one; nothing after ten seconds.
    template <class Pick>
    std::optional<attempt_id> wait_for(Pick&& pick)
    {
        std::unique_lock lock(m_mutex);
        std::optional<attempt_id> found;
        m_changed.wait_for(lock, std::chrono::seconds(10), [&] {
            for (const auto& message : m_messages) {
                found = found ? found : pick(message);
            }
            return found.has_value();
        });
        return found;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::vector<wire::Envelope> m_messages;
    std::unique_ptr<link::node> m_node;
};

std::optional<attempt_id> dispatched(const wire::Envelope& message)
{
    return message.has_dispatch() ? std::optional(link::from_wire(message.dispatch().attempt()))
                                  : std::nullopt;
}

std::optional<attempt_id> cancelled(const wire::Envelope& message)
{
    return message.has_cancel() ? std::optional(link::from_wire(message.cancel().attempt()))
                                : std::nullopt;
}

class entry_attempts : public testing::Test {
protected:
    entry_attempts() : m_frame(entry_settings()), m_state(m_frame, entry_settings(), [] {})
    {
        m_state.m_node = start_node("e1", {[](const link::peer&, wire::Envelope&&) {},
                                           [](const std::vector<link::peer>&) {}});
        adopt_chat_route(m_state);
    }

    void TearDown() override { m_state.m_node->stop(); }

    void add_upstream(const std::string& name, const std::string& address)
    {
        membership::member agent;
        agent.m_host = host_id(name);
        agent.m_upstream = upstream_id(name);
        agent.m_address = address;
        agent.m_role = membership::role::agent;
        agent.m_failure_domain = failure_domain_id("d1");
        agent.m_incarnation = agent.m_upstream_life = incarnation(1);
        agent.m_models.emplace_back("m");
        agent.m_labels.set("pool", "chat");
        agent.m_slots = 8;
        m_state.m_members.update_member(agent);
        update_pools(m_state, agent.m_host, program::now());
    }

    void add_two_upstreams()
    {
        m_first = std::make_unique<recording_agent>("a1");
        m_second = std::make_unique<recording_agent>("a2");
        add_upstream("u1", m_first->address());
        add_upstream("u2", m_second->address());
    }

    request_pointer send_request()
    {
        entry_request::facts known;
        known.m_ticket = dispatch::ticket(++m_state.m_last_ticket);
        known.m_call.m_model = known.m_caller_model = model_id("m");
        known.m_call.m_content = fingerprint(7);
        known.m_arrival = program::now();
        const request_pointer first(new entry_request(
            std::move(known), std::make_shared<recording_exchange>(), m_state.m_answer_budget));
        m_state.m_requests.add(first);
        resubmit(m_state, first, {}, program::now());
        return m_state.m_requests.all().at(0);
    }

    void deliver(wire::Envelope&& message)
    {
        m_state.m_is_started = true;
        m_state.m_membership =
            join(entry_settings(), {}, *m_state.m_node, membership_hooks_of(m_state));
        on_message(m_state, {}, std::move(message));
    }

    /// The agent reports an unresponsive upstream now and for the next two seconds.
    void report_unresponsive_upstream(const request_pointer& request)
    {
        wire::Envelope message;
        link::to_wire(request->attempt().m_id, *message.mutable_silence()->mutable_attempt());
        deliver(std::move(message));
        const auto& known = request->known();
        const auto begin = program::now();
        for (int i = 1; i <= 4; ++i) {
            const auto now = begin + i * std::chrono::milliseconds(500);
            perform(m_state,
                    m_state.m_pools.note_unresponsive_upstream(known.m_pool, known.m_ticket, now),
                    now);
        }
    }

    void lose_link(const std::string& address)
    {
        on_lost(m_state, std::vector{link::peer{address, {}}});
    }

    /// A load report of an agent whose upstream was measured `age_ms` ago.
    void report(const std::string& host, incarnation life, std::uint64_t age_ms = 0)
    {
        wire::Envelope message;
        message.set_sender(host);
        message.mutable_announcement()->set_upstream_life(life.value());
        message.mutable_announcement()->mutable_report()->set_measured_ms(age_ms);
        deliver(std::move(message));
    }

    /// Lets two agents accept the same content, one after the other, and loses each link. `between`
    /// is called with the first host after its loss. Returns whether the content counts as having
    /// crashed an upstream.
    template <class Between>
    bool is_suspected_after_two_losses(Between&& between)
    {
        deliver({});
        add_two_upstreams();
        const auto request = send_request();
        for (const bool is_first : {true, false}) {
            const auto owned = request->attempt();
            wire::Accepted accepted;
            link::to_wire(owned.m_id, *accepted.mutable_attempt());
            request->handle(accepted);
            lose_link(owned.m_agent_address);
            if (is_first) {
                between(owned.m_agent_address == m_first->address() ? "u1" : "u2");
            }
        }
        return m_state.m_metrics.text().find("upstream_died") != std::string::npos;
    }

    program::program m_frame;
    entry_state m_state;
    std::unique_ptr<recording_agent> m_first;
    std::unique_ptr<recording_agent> m_second;
};

// A dispatch may be sent on the connection that replaces the lost one. The agent then sees no loss,
// and without a cancellation the attempt would occupy a slot there for its whole run.
TEST_F(entry_attempts, an_attempt_that_ends_with_its_link_is_cancelled_at_its_agent)
{
    recording_agent agent("a1");
    add_upstream("u1", agent.address());
    send_request();
    const auto begun = agent.wait_for(dispatched);
    ASSERT_TRUE(begun);
    lose_link(agent.address());
    EXPECT_EQ(agent.wait_for(cancelled), begun);
}

TEST_F(entry_attempts, an_attempt_without_any_acknowledgement_is_cancelled_at_its_agent)
{
    recording_agent agent("a1");
    add_upstream("u1", agent.address());
    const auto request = send_request();
    const auto begun = agent.wait_for(dispatched);
    ASSERT_TRUE(begun);
    const auto late = program::now() + std::chrono::seconds(2);
    check_request_deadlines(m_state, request, late);
    check_request_deadlines(m_state, request, late + std::chrono::seconds(2));
    EXPECT_EQ(agent.wait_for(cancelled), begun);
}

TEST_F(entry_attempts, a_request_does_not_go_on_at_an_upstream_that_is_lost_at_the_same_time)
{
    add_two_upstreams();
    const auto request = send_request();
    on_lost(m_state, {link::peer{m_first->address(), {}}, link::peer{m_second->address(), {}}});
    EXPECT_EQ(request->attempt().m_id.m_sequence, 0U);
    EXPECT_FALSE(request->is_over());
}

// Links to stalled agents are found lost one after the other.
TEST_F(entry_attempts, a_request_outlives_the_loss_of_one_link_after_the_other)
{
    std::vector<std::unique_ptr<recording_agent>> agents;
    for (const auto* name : {"u1", "u2", "u3", "u4"}) {
        agents.push_back(std::make_unique<recording_agent>(name));
        add_upstream(name, agents.back()->address());
    }
    const auto request = send_request();
    for (std::size_t loss = 0; loss < agents.size(); ++loss) {
        ASSERT_NE(request->attempt().m_id.m_sequence, 0U);
        lose_link(request->attempt().m_agent_address);
    }
    EXPECT_FALSE(request->is_over());
}

TEST_F(entry_attempts, what_an_agent_cancels_for_want_of_its_entry_goes_on_elsewhere)
{
    add_two_upstreams();
    const auto request = send_request();
    const auto begun = request->attempt();
    wire::Envelope message;
    auto& chunk = *message.mutable_reply_chunk();
    link::to_wire(begun.m_id, *chunk.mutable_attempt());
    chunk.set_last(true);
    chunk.set_outcome(link::to_wire(ledger::outcome::unknown));
    chunk.set_reason(ledger::entry_lost);
    deliver(std::move(message));
    EXPECT_NE(request->attempt().m_agent_address, begun.m_agent_address);
}

TEST_F(entry_attempts, a_request_leaves_a_silent_upstream_for_one_with_room)
{
    add_two_upstreams();
    const auto request = send_request();
    const auto begun = request->attempt();
    report_unresponsive_upstream(request);
    EXPECT_NE(request->attempt().m_agent_address, begun.m_agent_address);
    auto& left = begun.m_agent_address == m_first->address() ? *m_first : *m_second;
    EXPECT_EQ(left.wait_for(cancelled), begun.m_id);
}

// If it started again, the attempt would never end: nothing waits for a second answer.
TEST_F(entry_attempts, a_request_whose_answer_has_just_come_is_not_begun_elsewhere)
{
    add_two_upstreams();
    const auto request = send_request();
    const auto begun = request->attempt();
    request->respond({}, ledger::outcome::completed);
    report_unresponsive_upstream(request);
    EXPECT_EQ(request->attempt().m_id, begun.m_id);
}

// Its answer may still arrive. If the attempt were ended, the request would be refused.
TEST_F(entry_attempts, a_request_stays_at_a_silent_upstream_while_no_other_has_room)
{
    recording_agent agent("a1");
    add_upstream("u1", agent.address());
    const auto request = send_request();
    const auto begun = request->attempt();
    report_unresponsive_upstream(request);
    EXPECT_EQ(request->attempt().m_id, begun.m_id);
    EXPECT_FALSE(request->is_over());
}

// A content that the agent never accepted can't have crashed the upstream.
TEST_F(entry_attempts, a_content_is_not_blamed_for_links_that_were_lost_before_it_was_accepted)
{
    add_two_upstreams();
    send_request();
    for (int loss = 0; loss < 2; ++loss) {
        lose_link(m_state.m_requests.all().at(0)->attempt().m_agent_address);
    }
    EXPECT_TRUE(m_state.m_pools.take_suspicions().empty());
}

// The link may have been lost to a brief stall of the agent or the network: nothing crashed.
TEST_F(entry_attempts, a_content_is_not_blamed_for_a_lost_link_to_an_upstream_that_goes_on)
{
    EXPECT_FALSE(is_suspected_after_two_losses([&](auto host) { report(host, incarnation(1)); }));
}

TEST_F(entry_attempts, a_content_is_blamed_where_the_upstream_is_not_heard_of)
{
    EXPECT_TRUE(is_suspected_after_two_losses([](auto) {}));
}

TEST_F(entry_attempts, a_content_is_blamed_where_the_upstream_began_anew_or_may_have)
{
    const auto between = [&](auto host) {
        report(host, incarnation(2));
        report(host, incarnation(1), 10'000);  // measured before the loss
        report(host, incarnation());           // an agent that can't tell
    };
    EXPECT_TRUE(is_suspected_after_two_losses(between));
}

// An agent replies "unknown" to a tombstone for a running attempt; that must not end the attempt.
TEST_F(entry_attempts, an_accepted_attempt_goes_on_after_the_answer_to_its_tombstone)
{
    recording_agent agent("a1");
    add_upstream("u1", agent.address());
    const auto request = send_request();
    const auto owned = request->attempt();
    ASSERT_TRUE(request->begin_tombstone(program::now() + std::chrono::seconds(2)));
    wire::Accepted accepted;
    link::to_wire(owned.m_id, *accepted.mutable_attempt());
    request->handle(accepted);
    wire::TombstoneReply answer;
    link::to_wire(owned.m_id, *answer.mutable_attempt());
    answer.set_outcome(link::to_wire(ledger::outcome::unknown));
    EXPECT_EQ(request->handle(answer), chunk_effect::none);
    EXPECT_EQ(request->attempt().m_id, owned.m_id);
}

// An entry whose event loop was delayed has not read yet what its agents sent meanwhile.
TEST_F(entry_attempts, time_for_which_the_entry_was_held_up_does_not_count_against_the_agent)
{
    recording_agent agent("a1");
    add_upstream("u1", agent.address());
    const auto request = send_request();
    const auto late = program::now() + std::chrono::seconds(2);
    request->extend_attempt_deadlines(std::chrono::seconds(2), late);
    EXPECT_FALSE(request->begin_tombstone(late));
    EXPECT_TRUE(request->begin_tombstone(late + std::chrono::seconds(2)));
}

}  // namespace
}  // namespace dewbeam::entry
