// The expert map protocol over real links and HTTP orders, and its encoding.
#include "dewbeam/src/group/group_runner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <set>
#include <thread>

#include "dewbeam/engine"
#include "dewbeam/fake_engine"
#include "dewbeam/program"
#include "dewbeam/src/agent/json_engine_port.h"
#include "dewbeam/src/group/group_wire.h"

namespace dewbeam::group {
namespace {

using std::chrono::milliseconds;

/// One rank: an engine behind HTTP, and the agent's runner behind a node.
struct rank_host {
    std::mutex m_mutex;
    fake_engine::rank_engine m_engine;
    group_map::map_id m_step_map;
    std::unique_ptr<http::server> m_server;
    std::unique_ptr<http::client> m_orders;
    std::shared_ptr<engine_port> m_port;
    std::shared_ptr<group_runner> m_runner;
    std::unique_ptr<link::node> m_node;

    std::shared_ptr<group_runner> runner()
    {
        const std::lock_guard lock(m_mutex);
        return m_runner;
    }
};

/// A lock-step group in this process, connected by real sockets.
class real_group {
public:
    real_group(std::size_t ranks, bool checks_fencing) : m_checks_fencing(checks_fencing)
    {
        for (int i = 0; i < 2; ++i) {
            m_threads.emplace_back([this] { m_context.run(); });
        }
        for (std::size_t rank = 0; rank < ranks; ++rank) {
            m_hosts.push_back(std::make_unique<rank_host>());
            start_host(*m_hosts.back());
        }
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            start_agent(rank);
        }
    }

    ~real_group()
    {
        for (auto& host : m_hosts) {
            host->runner()->stop();
            host->m_node.reset();
            host->m_server.reset();
        }
        m_guard.reset();
        m_context.stop();
        for (auto& thread : m_threads) {
            thread.join();
        }
    }
    real_group(const real_group&) = delete;
    real_group& operator=(const real_group&) = delete;
    real_group(real_group&&) = delete;
    real_group& operator=(real_group&&) = delete;

    /// Starts a new incarnation of a rank's agent, without any state of the previous one.
    void start_agent(std::uint32_t rank)
    {
        auto& host = *m_hosts[rank];
        auto options =
            make_group_options("g", m_members, rank_id(rank),
                               incarnation(++m_incarnation_count * 1'000'000), m_checks_fencing);
        options.m_participant.m_order_lifetime = milliseconds(200);
        auto started =
            std::make_shared<group_runner>(options, group_hooks{}, host.m_port, program::now());
        if (const auto previous = host.runner()) {
            previous->stop();
        }
        {
            const std::lock_guard lock(host.m_mutex);
            host.m_runner = started;
        }
        started->start(*host.m_node, program::now());
    }

    group_runner& runner(std::size_t rank) { return *m_hosts[rank]->m_runner; }

    /// Ticks and steps until `done`; false after 20 s, or if a step ran with two maps.
    template <class Condition>
    bool run_until(Condition&& done)
    {
        const auto limit = program::now() + std::chrono::seconds(20);
        while (!done()) {
            if (program::now() > limit || m_two_maps) {
                return false;
            }
            for (auto& host : m_hosts) {
                host->runner()->tick(program::now());
            }
            step();
            std::this_thread::sleep_for(milliseconds(1));
        }
        return true;
    }

    bool all_use(std::uint64_t number)
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const auto& host) {
            const std::lock_guard lock(host->m_mutex);
            return host->m_engine.m_state.m_current.m_number == number;
        });
    }

    bool is_settled() { return runner(0).current_phase() == group_map::phase::settled; }

    [[nodiscard]] bool two_maps() const { return m_two_maps; }

private:
    void start_host(rank_host& host)
    {
        host.m_engine.m_checks_fencing = m_checks_fencing;
        host.m_server =
            http::server::start(
                m_context, {parse_endpoint("127.0.0.1:0").value(), {}, "", "", false, nullptr, {}},
                [&host](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                    const auto order = engine::order_from_json(request.m_body).value();
                    const std::lock_guard lock(host.m_mutex);
                    answer->respond(
                        http::json_response(200, engine::answer_to_json(fake_engine::obey(
                                                     host.m_engine, order, program::now()))));
                },
                [](int, std::string_view, std::string_view) { return std::string(); })
                .value();
        host.m_orders = std::make_unique<http::client>(m_context, host.m_server->address(),
                                                       http::client_options{});
        host.m_port = std::make_shared<agent::json_engine_port>(*host.m_orders);
        link::node_options options;
        options.m_listen = parse_endpoint("127.0.0.1:0").value();
        options.m_host = host_id("rank" + std::to_string(m_members.size()));
        options.m_incarnation = incarnation(1);
        host.m_node =
            link::node::start(options, {[&host](const link::peer&, wire::Envelope&& m) {
                                            if (const auto runner = host.runner()) {
                                                runner->on_message(m.group(), program::now());
                                            }
                                        },
                                        [](const std::vector<link::peer>&) {}})
                .value();
        m_members.push_back(host.m_node->address());
    }

    /// Each rank starts the step that the slowest one is at. Once all have started it, their maps
    /// are compared.
    void step()
    {
        std::vector<std::unique_lock<std::mutex>> locks;
        for (auto& host : m_hosts) {
            locks.emplace_back(host->m_mutex);
        }
        bool all_began = true;
        for (auto& host : m_hosts) {
            auto& engine = host->m_engine;
            if (engine.m_state.m_step.value() == m_step) {
                fake_engine::begin_step(engine);
                host->m_step_map = engine.m_state.m_current;
            }
            all_began &= engine.m_state.m_step.value() > m_step;
        }
        if (all_began) {
            ++m_step;
            for (auto& host : m_hosts) {
                m_two_maps |= host->m_step_map != m_hosts.front()->m_step_map;
            }
        }
    }

    bool m_checks_fencing;
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard{
        m_context.get_executor()};
    std::vector<std::thread> m_threads;
    std::vector<std::unique_ptr<rank_host>> m_hosts;
    std::vector<std::string> m_members;
    std::uint64_t m_incarnation_count = 0;
    std::uint64_t m_step = 0;
    bool m_two_maps = false;
};

void check_group(bool checks_fencing)
{
    real_group group(4, checks_fencing);
    ASSERT_TRUE(group.run_until([&] { return group.is_settled(); }));
    ASSERT_TRUE(group.runner(0).propose("first", program::now()));
    ASSERT_TRUE(group.run_until([&] { return group.all_use(1) && group.is_settled(); }));
    for (const auto* content : {"second", "third", "fourth"}) {
        ASSERT_TRUE(group.runner(0).propose(content, program::now()));
        ASSERT_TRUE(group.run_until(
            [&] { return group.runner(0).current_phase() != group_map::phase::staging; }));
        group.start_agent(0);
        group.start_agent(2);
        ASSERT_TRUE(group.run_until([&] { return group.is_settled(); }));
    }
    ASSERT_TRUE(group.runner(0).propose("last", program::now()));
    const auto last = group.runner(0).engine()->m_current.m_number + 1;
    EXPECT_TRUE(group.run_until([&] { return group.all_use(last) || group.all_use(last + 1); }));
    EXPECT_FALSE(group.two_maps());
}

TEST(group_runner, group_changes_maps_over_real_links_with_fencing)
{
    check_group(true);
}

TEST(group_runner, group_changes_maps_over_real_links_without_fencing)
{
    check_group(false);
}

TEST(group_wire, messages_keep_their_meaning)
{
    group_map::command sent;
    sent.m_kind = group_map::command_kind::stage;
    sent.m_epoch = {3, rank_id(1), incarnation(9)};
    sent.m_round = group_map::round_number(4);
    sent.m_to = rank_id(2);
    sent.m_life = {incarnation(5), incarnation(6)};
    sent.m_target = {{7, fingerprint(8)}, group_map::step_number(10)};
    sent.m_content = std::make_shared<const std::string>("map");
    const auto read = command_from_wire(to_wire("g", rank_id(1), sent)).value();
    EXPECT_TRUE(read.m_kind == sent.m_kind && read.m_epoch == sent.m_epoch &&
                read.m_round == sent.m_round && read.m_to == sent.m_to &&
                read.m_life == sent.m_life && read.m_target == sent.m_target &&
                *read.m_content == *sent.m_content);

    group_map::report sent_report;
    sent_report.m_promised = sent.m_epoch;
    sent_report.m_life = sent.m_life;
    sent_report.m_engine.m_group = sent.m_life.m_group;
    sent_report.m_engine.m_armed = sent.m_target;
    sent_report.m_engine.m_can_hold = false;
    const auto read_report = report_from_wire(to_wire("g", sent_report)).value();
    EXPECT_TRUE(read_report.m_promised == sent_report.m_promised &&
                read_report.m_life == sent_report.m_life &&
                read_report.m_engine == sent_report.m_engine);

    const group_map::engine_answer answer{fencing_number(3), false, fencing_number(4),
                                          sent_report.m_engine};
    const auto read_answer = engine::answer_from_json(engine::answer_to_json(answer)).value();
    EXPECT_TRUE(read_answer.m_number == answer.m_number &&
                read_answer.m_accepted == answer.m_accepted &&
                read_answer.m_highest == answer.m_highest && read_answer.m_state == answer.m_state);
}

/// A map of many experts as text, with some of them changed.
group_map::map_content long_map(std::uint64_t seed, std::size_t changes)
{
    random_engine random(1);
    std::vector<std::uint64_t> experts(2'520);
    for (auto& expert : experts) {
        expert = uniform_below(random, 252);
    }
    random_engine later(seed);
    for (std::size_t i = 0; i < changes; ++i) {
        experts[uniform_below(later, experts.size())] = uniform_below(later, 252);
    }
    return std::make_shared<const std::string>(nlohmann::json(experts).dump());
}

group_map::command stage_command(std::uint64_t number, group_map::map_content content)
{
    group_map::command result;
    result.m_kind = group_map::command_kind::stage;
    result.m_target.m_map = group_map::map_of_number(number);
    result.m_content = std::move(content);
    return result;
}

/// Packs at one agent and unpacks at another.
absl::Status pack_and_unpack(content_codec& from, content_codec& to, const group_map::command& sent,
                             std::uint64_t base, wire::GroupCommand& message)
{
    message = to_wire("g", rank_id(0), sent).command();
    from.pack(sent, group_map::map_of_number(base), message);
    wire::GroupMessage whole;
    *whole.mutable_command() = message;
    auto received = command_from_wire(whole).value();
    auto status = to.unpack(message, received);
    if (status.ok()) {
        EXPECT_EQ(*received.m_content, *sent.m_content);
    }
    return status;
}

TEST(content_codec, a_map_that_differs_little_from_the_last_one_takes_few_bytes)
{
    content_codec coordinator;
    content_codec rank;
    wire::GroupCommand message;
    ASSERT_TRUE(
        pack_and_unpack(coordinator, rank, stage_command(1, long_map(1, 0)), 0, message).ok());
    const auto whole = message.packed_content().size();
    ASSERT_TRUE(
        pack_and_unpack(coordinator, rank, stage_command(2, long_map(2, 300)), 1, message).ok());
    EXPECT_LT(message.packed_content().size(), 2'000U);
    EXPECT_LT(message.packed_content().size(), whole);
    EXPECT_TRUE(message.content().empty());
}

TEST(content_codec, a_rank_that_lacks_the_last_map_gets_the_repeat_whole)
{
    content_codec coordinator;
    content_codec rank;
    content_codec restarted;
    wire::GroupCommand message;
    ASSERT_TRUE(
        pack_and_unpack(coordinator, rank, stage_command(1, long_map(1, 0)), 0, message).ok());
    auto second = stage_command(2, long_map(2, 300));
    EXPECT_FALSE(pack_and_unpack(coordinator, restarted, second, 1, message).ok());
    second.m_is_repeat = true;
    EXPECT_TRUE(pack_and_unpack(coordinator, restarted, second, 1, message).ok());
    EXPECT_FALSE(message.has_base());
    // From then on it knows the same maps as the other ranks.
    EXPECT_TRUE(
        pack_and_unpack(coordinator, restarted, stage_command(3, long_map(3, 300)), 2, message)
            .ok());
}

RC_GTEST_PROP(content_codec, damaged_bytes_are_refused, (const std::string& bytes))
{
    content_codec rank;
    auto received = stage_command(1, std::make_shared<const std::string>());
    wire::GroupCommand message;
    message.set_packed_content(bytes);
    RC_ASSERT(bytes.empty() || !rank.unpack(message, received).ok());
}

RC_GTEST_PROP(group_wire, any_bytes_are_read_or_refused, (const std::string& bytes))
{
    wire::GroupMessage message;
    if (message.ParseFromString(bytes)) {
        RC_ASSERT(!(command_from_wire(message) && report_from_wire(message)));
    }
    RC_ASSERT(!engine::order_from_json(bytes).ok());
    RC_ASSERT(!engine::answer_from_json("{\"fencing\":" + bytes + "}").ok());
}

/// An engine that answers every order at once without carrying it out.
class idle_engine : public engine_port {
public:
    void send(const group_map::engine_order& order, order_done done) override
    {
        group_map::engine_answer answer;
        answer.m_number = order.m_number;
        answer.m_highest = order.m_number;
        answer.m_state.m_group = incarnation(1);
        done(answer);
    }
    void cancel() override {}
};

/// The number of ranks that a coordinator substitutes for if it has no contact with any other rank.
std::size_t substitutes_in_group_of(std::size_t ranks)
{
    link::node_options node_options;
    node_options.m_listen = {"127.0.0.1", 0};
    node_options.m_host = host_id("h");
    node_options.m_incarnation = incarnation(5);
    auto node = link::node::start(node_options, {[](const link::peer&, wire::Envelope&&) {},
                                                 [](const std::vector<link::peer>&) {}});
    const std::vector<std::string> members(ranks, "tcp://127.0.0.1:1");  // nobody listens there
    auto options = make_group_options("g", members, rank_id(0), incarnation(5), true);
    std::set<rank_id> made;
    options.m_make_port = [&](rank_id rank) {
        made.insert(rank);
        return std::make_shared<idle_engine>();
    };
    const auto now = program::now();
    const auto runner = std::make_shared<group_runner>(options, group_hooks{},
                                                       std::make_shared<idle_engine>(), now);
    runner->start(**node, now);
    runner->tick(now + options.m_late_answer_timeout);
    runner->stop();
    (*node)->stop();
    return made.size();
}

TEST(group_runner, a_coordinator_stands_in_for_a_rank_but_never_for_most)
{
    EXPECT_EQ(substitutes_in_group_of(2), 1U);
    EXPECT_EQ(substitutes_in_group_of(4), 0U);
    EXPECT_EQ(substitutes_in_group_of(12), 0U);
}

}  // namespace
}  // namespace dewbeam::group
