// Messages between own processes: delivery, keys and silent connections.
#include "dewbeam/link"

#include <gtest/gtest.h>

#include <condition_variable>
#include <mutex>
#include <thread>

#include "dewbeam/src/link/strangers.h"

namespace dewbeam::link {
namespace {

/// Collects what a node's handlers were told.
class collector {
public:
    node_handlers handlers()
    {
        return {[this](const peer& from, wire::Envelope&& message) {
                    add([&] { m_messages.emplace_back(from, std::move(message)); });
                },
                [this](const std::vector<peer>& gone) {
                    add([&] { m_lost.insert(m_lost.end(), gone.begin(), gone.end()); });
                }};
    }

    /// Waits until `count` messages came; false where they did not within ten seconds.
    bool wait_for_messages(std::size_t count)
    {
        return wait([&] { return m_messages.size() >= count; });
    }

    bool wait_for_lost()
    {
        return wait([&] { return !m_lost.empty(); });
    }

    /// Messages that came so far.
    std::size_t count()
    {
        const std::lock_guard lock(m_mutex);
        return m_messages.size();
    }

    std::vector<std::pair<peer, wire::Envelope>> m_messages;
    std::vector<peer> m_lost;

private:
    template <class Action>
    void add(Action&& action)
    {
        const std::lock_guard lock(m_mutex);
        action();
        m_changed.notify_all();
    }

    template <class Condition>
    bool wait(Condition&& condition)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, std::chrono::seconds(10), condition);
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
};

node_options options(const char* host, const link_keys& keys = {})
{
    node_options result;
    result.m_listen = {"127.0.0.1", 0};
    result.m_host = host_id(host);
    result.m_incarnation = incarnation(7);
    result.m_keys = keys;
    result.m_ping_interval = std::chrono::milliseconds(50);
    result.m_silence_limit = std::chrono::milliseconds(400);
    return result;
}

/// A port on which nothing listens.
std::uint16_t first_free_port()
{
    collector unused;
    const auto probe = node::start(options("probe"), unused.handlers()).value();
    return parse_endpoint(probe->address().substr(std::string("tcp://").size()))->m_port;
}

wire::Envelope cancel_message(std::uint64_t sequence)
{
    wire::Envelope message;
    message.mutable_cancel()->mutable_attempt()->set_sequence(sequence);
    return message;
}

TEST(link, delivers_in_order_and_replies_on_the_same_connection)
{
    collector server_side;
    collector client_side;
    const auto keys = generate_link_keys();
    const auto server = node::start(options("server", keys), server_side.handlers()).value();
    const auto client = node::start(options("client", keys), client_side.handlers()).value();
    for (std::uint64_t i = 0; i < 100; ++i) {
        ASSERT_TRUE(client->send(server->address(), cancel_message(i)));
    }
    ASSERT_TRUE(server_side.wait_for_messages(100));
    for (std::uint64_t i = 0; i < 100; ++i) {
        EXPECT_EQ(server_side.m_messages[i].second.cancel().attempt().sequence(), i);
        EXPECT_EQ(server_side.m_messages[i].second.sender(), "client");
        EXPECT_EQ(server_side.m_messages[i].second.sender_incarnation(), 7U);
    }
    server->reply(server_side.m_messages[0].first, cancel_message(5));
    ASSERT_TRUE(client_side.wait_for_messages(1));
    EXPECT_EQ(client_side.m_messages[0].first.m_address, server->address());
}

TEST(link, messages_that_were_read_hold_no_memory)
{
    for (const auto& keys : {link_keys{}, generate_link_keys()}) {
        for (const std::size_t size : {10U, 1'000U}) {
            collector server_side;
            collector client_side;
            auto limited = options("server", keys);
            limited.m_most_message_bytes = 70'000;
            limited.m_most_held_bytes = 0;  // as much as one message
            const auto server = node::start(limited, server_side.handlers()).value();
            auto sender = options("client", keys);
            sender.m_host = host_id(std::string(size, 'h'));
            const auto client = node::start(sender, client_side.handlers()).value();
            constexpr std::uint64_t count = 8'000;
            for (std::uint64_t i = 0; i < count; ++i) {
                ASSERT_TRUE(client->send(server->address(), cancel_message(i)));
                if (i % 50 == 0) {
                    ASSERT_TRUE(server_side.wait_for_messages(i + 1));
                }
            }
            ASSERT_TRUE(server_side.wait_for_messages(count));
            std::this_thread::sleep_for(std::chrono::milliseconds(300));
            EXPECT_EQ(server_side.m_messages.front().first, server_side.m_messages.back().first)
                << "the connection was closed";
            EXPECT_EQ(server_side.m_messages.size(), count);
        }
    }
}

// Guards against connections that are lost because this process did not run for longer than the
// limit of silence.
TEST(link, a_process_that_was_held_up_keeps_its_connections)
{
    collector server_side;
    collector client_side;
    const auto server = node::start(options("server"), server_side.handlers()).value();
    auto handlers = client_side.handlers();
    handlers.m_on_message = [inner = std::move(handlers.m_on_message)](const peer& from,
                                                                       wire::Envelope&& message) {
        if (message.cancel().attempt().sequence() == 1) {
            std::this_thread::sleep_for(std::chrono::milliseconds(600));
        }
        inner(from, std::move(message));
    };
    const auto client = node::start(options("client"), std::move(handlers)).value();
    ASSERT_TRUE(client->send(server->address(), cancel_message(0)));
    ASSERT_TRUE(server_side.wait_for_messages(1));
    const auto way_back = server_side.m_messages[0].first;
    server->reply(way_back, cancel_message(1));
    ASSERT_TRUE(client_side.wait_for_messages(1));
    ASSERT_TRUE(client->send(server->address(), cancel_message(2)));
    ASSERT_TRUE(server_side.wait_for_messages(2));
    EXPECT_EQ(server_side.m_messages[1].first, way_back);
    EXPECT_TRUE(client_side.m_lost.empty());
}

// Guards against one message whose handler throws and that ends the process.
TEST(link, a_handler_that_throws_loses_its_message_alone)
{
    collector server_side;
    auto handlers = server_side.handlers();
    handlers.m_on_message = [inner = std::move(handlers.m_on_message)](const peer& from,
                                                                       wire::Envelope&& message) {
        if (message.cancel().attempt().sequence() == 1) {
            throw std::runtime_error("no such attempt");
        }
        inner(from, std::move(message));
    };
    collector client_side;
    const auto server = node::start(options("server"), std::move(handlers)).value();
    const auto client = node::start(options("client"), client_side.handlers()).value();
    for (std::uint64_t i = 0; i < 3; ++i) {
        ASSERT_TRUE(client->send(server->address(), cancel_message(i)));
    }
    ASSERT_TRUE(server_side.wait_for_messages(2));
    EXPECT_EQ(server_side.m_messages[1].second.cancel().attempt().sequence(), 2U);
}

// Guards against text that isn't UTF-8 and that makes a whole message unreadable.
TEST(link, text_that_is_no_utf8_reaches_the_receiver)
{
    const std::string no_text = "caf\xE9";
    collector server_side;
    collector client_side;
    const auto server = node::start(options("server"), server_side.handlers()).value();
    const auto client = node::start(options("client"), client_side.handlers()).value();
    wire::Envelope message;
    auto& header = *message.mutable_dispatch()->add_headers();
    header.set_name("X-Note");
    header.set_value(no_text);
    message.mutable_dispatch()->set_target("/" + no_text);
    ASSERT_TRUE(client->send(server->address(), message));
    ASSERT_TRUE(server_side.wait_for_messages(1));
    const auto& received = server_side.m_messages[0].second.dispatch();
    EXPECT_EQ(received.headers(0).value(), no_text);
    EXPECT_EQ(received.target(), "/" + no_text);
    EXPECT_EQ(server->unreadable_messages(), 0U);
}

// An address is handed on to another deployment: both ends refuse each other at once, and the end
// that opened the connection hears that it is lost. The same where one of them has no name.
TEST(link, refuses_processes_of_another_deployment)
{
    for (const auto& theirs : {deployment_id("lone-star"), unnamed_deployment}) {
        auto own = options("client");
        own.m_deployment = deployment_id("kilima");
        auto other = options("server");
        other.m_deployment = theirs;
        collector server_side;
        collector client_side;
        const auto server = node::start(other, server_side.handlers()).value();
        const auto client = node::start(own, client_side.handlers()).value();
        client->send(server->address(), cancel_message(1));
        ASSERT_TRUE(client_side.wait_for_lost());
        EXPECT_EQ(client_side.m_lost.front().m_address, server->address());
        EXPECT_EQ(server_side.count(), 0U);
        EXPECT_EQ(client_side.count(), 0U);
    }
}

TEST(link, hands_on_messages_of_the_same_deployment)
{
    auto named = options("client");
    named.m_deployment = deployment_id("kilima");
    auto other = options("server");
    other.m_deployment = named.m_deployment;
    collector server_side;
    collector client_side;
    const auto server = node::start(other, server_side.handlers()).value();
    const auto client = node::start(named, client_side.handlers()).value();
    client->send(server->address(), cancel_message(1));
    ASSERT_TRUE(server_side.wait_for_messages(1));
    server->reply(server_side.m_messages[0].first, cancel_message(2));
    EXPECT_TRUE(client_side.wait_for_messages(1));
}

// The address may be in the right hands again a moment later, so it is tried again.
TEST(link, reaches_an_address_that_comes_back_from_another_deployment)
{
    auto strange = options("stranger");
    strange.m_deployment = deployment_id("lone-star");
    strange.m_listen.m_port = first_free_port();
    collector strange_side;
    collector server_side;
    collector client_side;
    auto stranger_node = node::start(strange, strange_side.handlers()).value();
    const auto address = stranger_node->address();
    const auto client = node::start(options("client"), client_side.handlers()).value();
    client->send(address, cancel_message(1));
    ASSERT_TRUE(client_side.wait_for_lost());
    stranger_node.reset();
    auto right = options("server");
    right.m_listen = strange.m_listen;
    auto server = node::start(right, server_side.handlers());
    ASSERT_TRUE(server.ok()) << server.status();
    for (int i = 0; i < 100 && server_side.count() == 0; ++i) {
        client->send(address, cancel_message(2));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_GT(server_side.count(), 0U);
}

// Deployments without a name: what tells them apart is the log that each of them follows.
TEST(link, refuses_processes_that_follow_another_log)
{
    collector server_side;
    collector client_side;
    const auto server = node::start(options("server"), server_side.handlers()).value();
    const auto client = node::start(options("client"), client_side.handlers()).value();
    client->follow_log(log_id(1));
    client->send(server->address(), cancel_message(1));
    ASSERT_TRUE(server_side.wait_for_messages(1));  // a server that follows none yet
    EXPECT_EQ(server_side.m_messages[0].second.log(), 1U);
    server->follow_log(log_id(2));
    server->follow_log(log_id(1));  // the first one holds
    client->send(server->address(), cancel_message(2));
    EXPECT_TRUE(client_side.wait_for_lost());
    EXPECT_EQ(server_side.count(), 1U);
}

TEST(strangers, are_left_alone_for_a_while_and_logged_once_a_minute)
{
    strangers state;
    const origin theirs{deployment_id("lone-star"), {}};
    const origin others{deployment_id("lone-star"), log_id(7)};
    time_point now{};
    EXPECT_FALSE(is_left_alone(state, "a", now));
    EXPECT_TRUE(note_stranger(state, "a", theirs, now));
    EXPECT_FALSE(note_stranger(state, "a", theirs, now + stranger_log_interval - time_span(1)));
    EXPECT_TRUE(note_stranger(state, "a", others, now));
    EXPECT_TRUE(note_stranger(state, "a", others, now + stranger_log_interval));
    now += stranger_log_interval;
    EXPECT_TRUE(is_left_alone(state, "a", now + stranger_pause - time_span(1)));
    EXPECT_FALSE(is_left_alone(state, "a", now + stranger_pause));
    EXPECT_FALSE(is_left_alone(state, "b", now));
}

TEST(link, reports_both_ends_of_a_lost_process)
{
    collector server_side;
    collector client_side;
    const auto server = node::start(options("server"), server_side.handlers()).value();
    auto client = node::start(options("client"), client_side.handlers()).value();
    client->send(server->address(), cancel_message(1));
    ASSERT_TRUE(server_side.wait_for_messages(1));
    client.reset();
    EXPECT_TRUE(server_side.wait_for_lost());

    collector third_side;
    const auto third = node::start(options("third"), third_side.handlers()).value();
    third->send("tcp://127.0.0.1:9", cancel_message(1));
    EXPECT_TRUE(third_side.wait_for_lost());
}

TEST(link, a_process_that_begins_to_listen_late_is_reached_soon)
{
    // The first connection is refused; with the usual limit of silence it would be kept for 5 s.
    auto slow = options("client");
    slow.m_silence_limit = std::chrono::seconds(5);
    collector client_side;
    const auto client = node::start(slow, client_side.handlers()).value();
    collector server_side;
    auto late = options("server");
    late.m_listen.m_port = first_free_port();
    const auto address = "tcp://127.0.0.1:" + std::to_string(late.m_listen.m_port);
    ASSERT_TRUE(client->send(address, cancel_message(0)));
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    const auto server = node::start(late, server_side.handlers()).value();
    const auto begun = std::chrono::steady_clock::now();
    for (std::uint64_t i = 1; server_side.count() == 0 && i < 40; ++i) {
        client->send(address, cancel_message(i));
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
    }
    EXPECT_GT(server_side.count(), 0U);
    EXPECT_LT(std::chrono::steady_clock::now() - begun, std::chrono::seconds(2));
    EXPECT_TRUE(client_side.wait_for_lost());
}

TEST(link, refuses_a_process_without_the_key)
{
    collector server_side;
    collector stranger_side;
    collector open_side;
    const auto keys = generate_link_keys();
    const auto server = node::start(options("server", keys), server_side.handlers()).value();
    const auto stranger =
        node::start(options("stranger", generate_link_keys()), stranger_side.handlers()).value();
    stranger->send(server->address(), cancel_message(1));
    EXPECT_TRUE(stranger_side.wait_for_lost());
    const auto open = node::start(options("open"), open_side.handlers()).value();
    open->send(server->address(), cancel_message(1));
    EXPECT_TRUE(open_side.wait_for_lost());
    EXPECT_TRUE(server_side.m_messages.empty());
}

}  // namespace
}  // namespace dewbeam::link
