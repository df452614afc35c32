// Membership over real links: announcements, load reports, leaving, and the wire forms.
#include "dewbeam/src/entry/membership_runner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

#include "dewbeam/link"
#include "dewbeam/src/entry/member_wire.h"

namespace dewbeam::entry {
namespace {

using namespace std::chrono_literals;

time_point clock_now()
{
    return time_point(
        std::chrono::duration_cast<time_span>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// A process: a link and its runner.
class process {
public:
    process(const std::string& host, membership::role kind, const std::string& seed)
    {
        link::node_options options;
        options.m_listen = parse_endpoint("127.0.0.1:0").value();
        options.m_host = host_id(host);
        options.m_incarnation = incarnation(1);
        m_node = *link::node::start(
            options, {[this](const link::peer&, wire::Envelope&& message) { take(message); },
                      [](const std::vector<link::peer>&) {}});
        membership::member self;
        self.m_host = host_id(host);
        self.m_failure_domain = failure_domain_id("a");
        self.m_role = kind;
        self.m_address = m_node->address();
        self.m_incarnation = incarnation(1);
        membership::view_options limits;
        limits.m_heartbeat = 100ms;
        limits.m_gossip = 20ms;
        limits.m_digest = 100ms;
        limits.m_seeds = {seed.empty() ? self.m_address : seed};
        membership_hooks hooks;
        hooks.m_send = [this](const std::string& address, wire::Envelope message) {
            m_node->send(address, std::move(message));
        };
        hooks.m_on_report = [this](const agent_report& report) {
            m_running = report.m_load.m_running;
            m_upstream_life = report.m_upstream_life.value();
        };
        m_self = self;
        m_runner = std::make_unique<membership_runner>(limits, self, hooks, 7, clock_now());
        m_is_started = true;
    }

    ~process() { m_node.reset(); }
    process(const process&) = delete;
    process& operator=(const process&) = delete;
    process(process&&) = delete;
    process& operator=(process&&) = delete;

    [[nodiscard]] bool knows(const std::string& host, bool is_leaving = false) const
    {
        for (const auto& item : m_runner->members()) {
            if (item.m_host == host_id(host)) {
                return item.m_leaving == is_leaving;
            }
        }
        return false;
    }

    membership::member m_self;
    std::unique_ptr<membership_runner> m_runner;
    std::atomic<std::uint32_t> m_running = 0;
    std::atomic<std::uint64_t> m_upstream_life = 0;

    [[nodiscard]] const std::string& address() const { return m_node->address(); }

private:
    void take(const wire::Envelope& message)
    {
        if (m_is_started) {
            m_runner->take(message, clock_now());
        }
    }

    std::atomic<bool> m_is_started = false;
    std::unique_ptr<link::node> m_node;
};

/// Ticks all processes until `is_done`, for at most 30 s.
template <class Condition>
bool eventually(const std::vector<process*>& all, Condition is_done)
{
    const auto give_up = std::chrono::steady_clock::now() + 30s;
    while (!is_done() && std::chrono::steady_clock::now() < give_up) {
        for (auto* item : all) {
            item->m_runner->tick(clock_now());
        }
        std::this_thread::sleep_for(5ms);
    }
    return is_done();
}

TEST(membership_runner, members_find_each_other_report_and_leave)
{
    process first("entry-1", membership::role::entry, "");
    process second("entry-2", membership::role::entry, first.address());
    process agent("agent-1", membership::role::agent, first.address());
    const std::vector<process*> all{&first, &second, &agent};
    EXPECT_TRUE(eventually(all, [&] {
        return first.knows("entry-2") && first.knows("agent-1") && second.knows("agent-1") &&
               agent.knows("entry-2");
    }));
    membership::member_load load;
    load.m_running = 17;
    EXPECT_TRUE(eventually(all, [&] {
        second.m_runner->request_load_reports(4);
        agent.m_runner->report(load, incarnation(3), clock_now());
        return second.m_running == 17 && second.m_upstream_life == 3;
    }));
    EXPECT_EQ(first.m_running, 0U);
    agent.m_self.m_models = {model_id("chat")};
    agent.m_runner->announce(agent.m_self, clock_now());
    agent.m_runner->leave(clock_now());
    EXPECT_TRUE(eventually(
        all, [&] { return first.knows("agent-1", true) && second.knows("agent-1", true); }));
    EXPECT_TRUE(first.m_runner->reach_json(clock_now())["hears_own_domain"].get<bool>());
}

// Guards against an upstream that is avoided forever: changes of a member that two threads receive
// one after the other must not be delivered to the program in the reverse order.
TEST(membership_runner, changes_are_told_in_the_order_in_which_they_were_learned)
{
    membership::member agent;
    agent.m_host = host_id("agent-1");
    agent.m_role = membership::role::agent;
    agent.m_incarnation = incarnation(1);
    agent.m_sequence = 1;
    agent.m_leaving = true;
    const auto message_of = [](const membership::member& told) {
        membership::gossip message;
        message.m_from = told.m_host;
        message.m_role = told.m_role;
        message.m_deltas = {told};
        wire::Envelope result;
        result.set_sender(told.m_host.value());
        *result.mutable_gossip() = to_wire(message, clock_now());
        return result;
    };
    std::mutex mutex;
    std::vector<bool> told;
    std::promise<void> first_is_told;
    std::promise<void> second_is_taken;
    membership_hooks hooks;
    hooks.m_send = [](const std::string&, const wire::Envelope&) {};
    hooks.m_on_change = [&](const membership::member& changed) {
        if (changed.m_leaving) {
            first_is_told.set_value();
            second_is_taken.get_future().wait_for(10s);
        }
        const std::lock_guard lock(mutex);
        told.push_back(changed.m_leaving);
    };
    membership::member self;
    self.m_host = host_id("entry-1");
    self.m_incarnation = incarnation(1);
    membership_runner runner({}, self, hooks, 7, clock_now());
    std::thread first([&] { runner.take(message_of(agent), clock_now()); });
    first_is_told.get_future().wait();
    agent.m_incarnation = incarnation(2);
    agent.m_leaving = false;
    runner.take(message_of(agent), clock_now());
    second_is_taken.set_value();
    first.join();
    EXPECT_EQ(told, (std::vector<bool>{true, false}));
}

TEST(member_wire, a_message_survives_the_wire)
{
    const auto now = time_point{} + 1h;
    membership::gossip message;
    message.m_from = host_id("h");
    message.m_failure_domain = failure_domain_id("a");
    message.m_role = membership::role::control;
    message.m_reply_to = "tcp://1.2.3.4:5";
    message.m_heartbeat = {incarnation(7), 3};
    message.m_digest = 0;
    message.m_domain_digest = 9;
    message.m_parts.emplace();
    message.m_parts->at(5) = 11;
    message.m_wants_self = true;
    message.m_contacts = {{failure_domain_id("b"), now - 2s}};
    message.m_quorum_heard_at = now - 1s;
    membership::member dead;
    dead.m_host = host_id("gone");
    dead.m_dead = true;
    dead.m_lease_deadline = now + 5min;
    dead.m_labels.set("pool", "chat");
    message.m_deltas = {dead};
    const auto later = now + 10s;
    const auto read = from_wire(to_wire(message, now), message.m_from, later);
    EXPECT_EQ(read.m_heartbeat->m_sequence, 3U);
    EXPECT_EQ(read.m_digest, message.m_digest);
    EXPECT_EQ(read.m_domain_digest, message.m_domain_digest);
    EXPECT_EQ(read.m_parts, message.m_parts);
    EXPECT_EQ(read.m_role, message.m_role);
    EXPECT_TRUE(read.m_wants_self);
    ASSERT_EQ(read.m_contacts.size(), 1U);
    EXPECT_EQ(read.m_contacts[0].m_heard_at, later - 2s);
    EXPECT_EQ(*read.m_quorum_heard_at, later - 1s);
    ASSERT_EQ(read.m_deltas.size(), 1U);
    EXPECT_EQ(read.m_deltas[0].m_lease_deadline, later + 5min);
    EXPECT_EQ(read.m_deltas[0].m_labels, dead.m_labels);
}

RC_GTEST_PROP(member_wire, any_frame_is_read_or_refused, (const std::string& bytes))
{
    wire::Gossip source;
    if (source.ParseFromString(bytes)) {
        const auto read = from_wire(source, host_id("h"), time_point{});
        auto view = membership::make_view({}, membership::member(), time_point{});
        membership::receive(view, read, time_point{});
    }
}

}  // namespace
}  // namespace dewbeam::entry
