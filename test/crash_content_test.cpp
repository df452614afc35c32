// Guards against quarantining contents that only ran beside one that crashes upstreams, and against
// too many crashes before the cause is quarantined. Runs in virtual time.
#include <gtest/gtest.h>

#include <deque>
#include <set>

#include "dewbeam/dispatch"
#include "dewbeam/quarantine"
#include "dewbeam/src/gateway/good_runs.h"
#include "dewbeam/src/gateway/lost_attempt_tracker.h"
#include "dewbeam/src/gateway/upstream_table.h"
#include "dewbeam/src/registrar/suspicion_store.h"
#include "test/broker_with_retries.h"

namespace dewbeam {
namespace {

using quarantine::crash_report;
using quarantine::standing;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr fingerprint content{7};
constexpr time_point start{};

quarantine::suspicion_table make_table()
{
    quarantine::suspicion_table table;
    table.m_options.m_deaths_to_quarantine = 3;
    return table;
}

/// A crash report of a run that started when all crashes of lower order were known.
crash_report crash_report_of_run(const std::string& upstream, time_point at, std::uint32_t order)
{
    crash_report crash{upstream_id(upstream), incarnation{1}, at, false};
    crash.m_order = order;
    return crash;
}

TEST(crash_content, deaths_of_runs_side_by_side_count_once)
{
    auto table = make_table();
    for (const auto* name : {"u1", "u2", "u3", "u4"}) {
        note_crash(table, content, crash_report_of_run(name, start + seconds(5), 1));
    }
    EXPECT_EQ(standing_of(table, content, start + seconds(6)), standing::suspect);
    EXPECT_EQ(deaths_of(table, content, start + seconds(6)), 1U);
    note_crash(table, content,
               crash_report_of_run("u5", start + seconds(8), next_order(table, content)));
    note_crash(table, content,
               crash_report_of_run("u6", start + seconds(10), next_order(table, content)));
    EXPECT_EQ(standing_of(table, content, start + seconds(10)), standing::quarantined);
}

TEST(crash_content, a_good_run_outweighs_one_death)
{
    auto table = make_table();
    EXPECT_FALSE(outweigh(table, content, start).has_value());
    for (int i = 1; i <= 3; ++i) {
        note_crash(table, content,
                   crash_report_of_run("u" + std::to_string(i), start + seconds(2 * i),
                                       next_order(table, content)));
    }
    EXPECT_EQ(standing_of(table, content, start + seconds(6)), standing::quarantined);
    ASSERT_TRUE(outweigh(table, content, start + seconds(6)).has_value());
    EXPECT_EQ(standing_of(table, content, start + seconds(6)), standing::suspect);
    outweigh(table, content, start + seconds(6));
    outweigh(table, content, start + seconds(6));
    EXPECT_EQ(standing_of(table, content, start + seconds(6)), standing::clear);
    EXPECT_FALSE(outweigh(table, content, start + seconds(6)).has_value());
}

TEST(crash_content, doubtful_deaths_hold_a_content_until_the_doubt_is_over)
{
    auto table = make_table();
    auto crash = crash_report_of_run("u1", start + seconds(2), 1);
    crash.m_is_doubtful = true;
    note_crash(table, content, crash);
    EXPECT_EQ(standing_of(table, content, start + seconds(2)), standing::suspect);
    crash = crash_report_of_run("u2", start + seconds(4), 2);
    crash.m_is_doubtful = true;
    note_crash(table, content, crash);
    EXPECT_EQ(standing_of(table, content, start + seconds(4)), standing::quarantined);
    const auto over = ends_at(table, content, start + seconds(4));
    EXPECT_EQ(over, start + seconds(12));
    EXPECT_EQ(standing_of(table, content, over), standing::clear);
    crash.m_is_doubtful = false;  // the second upstream did crash
    note_crash(table, content, crash);
    EXPECT_EQ(standing_of(table, content, over), standing::suspect);
}

TEST(crash_content, a_good_run_outweighs_a_doubtful_death_also_once_it_is_certain)
{
    auto table = make_table();
    auto crash = crash_report_of_run("u1", start + seconds(2), 1);
    crash.m_is_doubtful = true;
    note_crash(table, content, crash);
    ASSERT_TRUE(outweigh(table, content, start + seconds(3)).has_value());
    EXPECT_EQ(standing_of(table, content, start + seconds(3)), standing::clear);
    crash.m_is_doubtful = false;
    note_crash(table, content, crash);
    EXPECT_EQ(standing_of(table, content, start + seconds(3)), standing::clear);
}

TEST(crash_content, a_good_run_outweighs_deaths_of_its_order_that_are_reported_later)
{
    auto table = make_table();
    note_crash(table, content, crash_report_of_run("u1", start + seconds(2), 1));
    ASSERT_TRUE(outweigh(table, content, start + seconds(3)).has_value());
    note_crash(table, content, crash_report_of_run("u2", start + seconds(2), 1));
    EXPECT_EQ(deaths_of(table, content, start + seconds(4)), 0U);
    note_crash(table, content, crash_report_of_run("u3", start + seconds(4), 2));
    EXPECT_EQ(deaths_of(table, content, start + seconds(4)), 1U);
}

TEST(crash_content, an_upstream_that_turns_out_alive_outweighs_no_other_death)
{
    auto table = make_table();
    auto doubt = crash_report_of_run("u1", start + seconds(2), 1);
    doubt.m_is_doubtful = true;
    note_crash(table, content, doubt);
    note_crash(table, content, crash_report_of_run("u2", start + seconds(2), 1));
    doubt.m_is_outweighed = true;
    note_crash(table, content, doubt);
    EXPECT_EQ(deaths_of(table, content, start + seconds(3)), 1U);
}

TEST(crash_content, news_are_what_is_not_known_whatever_the_time_on_the_way)
{
    auto table = make_table();
    quarantine::suspicion record{content, {crash_report_of_run("u1", start + seconds(2), 1)}};
    ASSERT_TRUE(news_of(table, record).has_value());
    merge(table, record);
    record.m_crash_reports[0].m_at += milliseconds(30);
    EXPECT_FALSE(news_of(table, record).has_value());
    record.m_crash_reports[0].m_is_outweighed = true;
    const auto changes = news_of(table, record);
    ASSERT_TRUE(changes.has_value());
    EXPECT_EQ(changes->m_crash_reports[0].m_at, start + seconds(2));
}

TEST(crash_content, losses_are_known_by_the_life_of_the_upstream)
{
    gateway::lost_attempt_tracker watch;
    const gateway::upstream_incarnation first{upstream_id("u"), incarnation{1}};
    const gateway::upstream_incarnation second{upstream_id("u"), incarnation{2}};
    note_loss(watch, first, {content, "p", 1, start + seconds(1)});
    note_loss(watch, first, {content, "p", 1, start + seconds(2)});
    note_loss(watch, first, {fingerprint{8}, "p", 1, start + seconds(3)});
    EXPECT_EQ(earlier_incarnations(watch, second), std::vector{first});
    forget_losses(watch, first, start + seconds(2));
    EXPECT_TRUE(take_losses(watch, second).empty());
    const auto left = take_losses(watch, first);
    ASSERT_EQ(left.size(), 1U);
    EXPECT_EQ(left[0].m_content, fingerprint{8});
    note_loss(watch, second, {content, "p", 1, start + seconds(1)});
    expire(watch, seconds(10), start + seconds(11));
    EXPECT_TRUE(watch.m_losses.empty());
}

TEST(crash_content, neighbours_that_ended_long_ago_say_nothing_of_a_cut)
{
    boost::asio::io_context context;
    gateway::upstream_table table(context, {});
    for (const auto* name : {"u1", "u2", "u3", "u4", "u5"}) {
        registry::announcement known;
        known.m_name = upstream_id(name);
        known.m_service = "chat";
        known.m_address = {"127.0.0.1", 9};
        table.put(known, std::string(name) != "u5", time_point{});
    }
    EXPECT_TRUE(table.do_neighbours_announce(upstream_id("u1"), {upstream_id("u1")}));
    EXPECT_FALSE(
        table.do_neighbours_announce(upstream_id("u1"), {upstream_id("u2"), upstream_id("u3")}));
    EXPECT_FALSE(table.do_neighbours_announce(upstream_id("u5"), {}));
}

TEST(crash_content, good_runs_are_spent_and_bounded)
{
    gateway::good_runs runs;
    EXPECT_FALSE(spend_good_run(runs, content));
    for (int i = 0; i < 100; ++i) {
        note_good_run(runs, content, start);
    }
    for (std::uint64_t i = 0; i < 5000; ++i) {
        note_good_run(runs, fingerprint{1000 + i}, start);
    }
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(spend_good_run(runs, content));
    }
    EXPECT_FALSE(spend_good_run(runs, content));
    for (std::uint64_t i = 0; i < 100'000; ++i) {
        note_good_run(runs, fingerprint{10'000 + i}, start);
    }
    EXPECT_LE(runs.m_young.size() + runs.m_old.size(), 8192U);
}

TEST(crash_content, good_runs_are_recent_for_a_while_whether_spent_or_not)
{
    gateway::good_runs runs;
    EXPECT_FALSE(has_recent_good_run(runs, content, start));
    note_good_run(runs, content, start);
    spend_good_run(runs, content);
    EXPECT_TRUE(has_recent_good_run(runs, content, start + seconds(9)));
    EXPECT_FALSE(has_recent_good_run(runs, content, start + seconds(10)));
}

TEST(crash_content, a_run_that_offset_a_report_takes_none_of_those_kept)
{
    gateway::good_runs runs;
    for (int i = 0; i < 4; ++i) {
        note_good_run(runs, content, start);
    }
    note_spent_good_run(runs, content, start + seconds(20));
    EXPECT_TRUE(has_recent_good_run(runs, content, start + seconds(21)));
    for (int i = 0; i < 4; ++i) {
        EXPECT_TRUE(spend_good_run(runs, content));
    }
    EXPECT_FALSE(spend_good_run(runs, content));
}

TEST(crash_content, one_gateway_at_a_time_has_the_turn)
{
    registrar::suspicion_store board;
    const permits::holder_id a("a");
    const permits::holder_id b("b");
    EXPECT_EQ(set_wanted_turns(board, a, {content}, start).size(), 1U);
    EXPECT_TRUE(set_wanted_turns(board, b, {content}, start).empty());
    EXPECT_EQ(set_wanted_turns(board, a, {content}, start + seconds(1)).size(), 1U);
    EXPECT_TRUE(set_wanted_turns(board, b, {content}, start + seconds(2)).empty());
    EXPECT_EQ(set_wanted_turns(board, b, {content}, start + seconds(3)).size(), 1U)
        << "the lease of a gateway that is gone ends";
    set_wanted_turns(board, b, {}, start + seconds(3));
    EXPECT_EQ(set_wanted_turns(board, a, {content}, start + seconds(3)).size(), 1U);
}

/// A broker that runs suspects only with an exclusive grant, with two upstreams of many slots.
class crash_content_turns : public testing::Test {
protected:
    crash_content_turns()
    {
        m_broker.m_options.m_suspects_run_exclusively = true;
        m_broker.m_suspicions.m_options.m_deaths_to_quarantine = 3;
        for (const auto* name : {"u1", "u2"}) {
            dispatch::upstream_info info;
            info.m_name = upstream_id(name);
            info.m_incarnation = incarnation(1);
            info.m_slots = 8;
            update_upstream(m_broker, info, m_now, m_random);
        }
    }

    dispatch::actions send(std::uint64_t id, fingerprint what)
    {
        dispatch::request_info info;
        info.m_ticket = dispatch::ticket(id);
        info.m_fingerprint = what;
        info.m_arrival = m_now;
        info.m_deadline = m_now + seconds(4);
        info.m_wait_deadline = m_now + milliseconds(1500);
        return submit(m_broker, info, m_now, m_random);
    }

    void report_crashes(std::uint32_t count)
    {
        for (std::uint32_t order = 1; order <= count; ++order) {
            merge_suspicion(
                m_broker,
                {content, {crash_report_of_run("x" + std::to_string(order), m_now, order)}}, m_now,
                m_random);
        }
    }

    dispatch::actions grant(std::vector<fingerprint> what, bool is_cut_off = false)
    {
        return set_exclusive_grants(m_broker, what, is_cut_off, m_now, m_random);
    }

    test::broker_with_retries m_broker;
    time_point m_now = start + seconds(100);
    random_engine m_random{5};
};

TEST_F(crash_content_turns, copies_run_one_at_a_time_and_others_are_not_held_up)
{
    report_crashes(1);
    EXPECT_TRUE(send(1, content).empty());
    EXPECT_TRUE(send(2, content).empty());
    EXPECT_EQ(send(3, fingerprint{8}).size(), 1U);
    EXPECT_EQ(wanted_turns(m_broker), std::vector{content});
    ASSERT_EQ(grant({content}).size(), 1U);
    EXPECT_TRUE(grant({content}).empty()) << "the first copy still runs";
    const auto next = attempt_ended(m_broker, dispatch::ticket(1), dispatch::attempt_end::completed,
                                    m_now, m_random);
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(next[0].m_ticket, dispatch::ticket(2));
}

TEST_F(crash_content_turns, no_other_copy_begins_before_it_is_known_how_the_last_one_ended)
{
    report_crashes(1);
    send(1, content);
    ASSERT_EQ(grant({content}).size(), 1U);
    EXPECT_TRUE(send(2, content).empty());
    suspend_exclusive_grant(m_broker, content);
    EXPECT_TRUE(cancel(m_broker, dispatch::ticket(1), m_now, m_random).empty());
    EXPECT_EQ(grant({content}).size(), 1U);
}

TEST_F(crash_content_turns, what_waits_goes_at_once_where_a_good_run_speaks_for_it)
{
    report_crashes(1);
    EXPECT_TRUE(send(1, content).empty());
    auto crash = crash_report_of_run("x1", m_now, 1);
    crash.m_is_outweighed = true;
    EXPECT_EQ(merge_suspicion(m_broker, {content, {crash}}, m_now, m_random).size(), 1U);
}

TEST_F(crash_content_turns, what_is_quarantined_is_refused_at_once_until_then)
{
    report_crashes(2);
    EXPECT_TRUE(send(1, content).empty());
    const auto waiting = merge_suspicion(m_broker, {content, {crash_report_of_run("x3", m_now, 3)}},
                                         m_now, m_random);
    ASSERT_EQ(waiting.size(), 1U);
    EXPECT_EQ(waiting[0].m_refusal, dispatch::refusal::quarantined);
    const auto later = send(2, content);
    ASSERT_EQ(later.size(), 1U);
    EXPECT_EQ(later[0].m_refusal, dispatch::refusal::quarantined);
    EXPECT_EQ(later[0].m_retry_at, m_now + std::chrono::minutes(10));
}

TEST_F(crash_content_turns, a_gateway_that_is_cut_off_runs_what_one_upstream_died_of_alone)
{
    report_crashes(1);
    grant({}, true);
    EXPECT_EQ(send(1, content).at(0).m_kind, dispatch::action::kind::dispatch);
    report_crashes(2);
    EXPECT_EQ(send(2, content).at(0).m_refusal, dispatch::refusal::quarantined);
    grant({}, false);
    EXPECT_TRUE(send(3, content).empty());
}

/// Gateways and registries that exchange their suspicion stores, with message delay and loss.
/// Copies of one content arrive at all gateways, and each run of it crashes an upstream.
class simulated_deployment {
public:
    simulated_deployment(std::size_t gateways, std::size_t registries, double loss_rate)
        : m_gateways(gateways), m_registries(registries), m_loss_rate(loss_rate)
    {
        for (auto* all : {&m_gateways, &m_registries}) {
            for (auto& item : *all) {
                item.m_board.m_table.m_options.m_deaths_to_quarantine = 3;
                item.m_delivered_changes.assign(std::max(gateways, registries), 0);
            }
        }
    }

    /// A copy of the content arrives at a gateway, which runs it if it may.
    void arrive(std::size_t at)
    {
        auto& self = m_gateways[at];
        const auto where = standing_of(self.m_board.m_table, content, m_now);
        if (where == standing::quarantined || self.m_runs_until != time_point{}) {
            return;
        }
        self.m_wants_grant = where == standing::suspect;
        if (where == standing::clear) {
            begin(self);
        }
    }

    void step(time_span span)
    {
        for (const auto until = m_now + span; m_now < until; m_now += milliseconds(10)) {
            for (std::size_t i = 0; i < m_gateways.size(); ++i) {
                end_run(i);
                if ((m_now.time_since_epoch() / milliseconds(10) + i) % 10 == 0) {
                    exchange(i);
                }
            }
            deliver();
        }
    }

    void forget_gateway(std::size_t at) { clear(m_gateways[at], m_registries, at); }
    void forget_registry(std::size_t at) { clear(m_registries[at], m_gateways, at); }

    std::vector<time_point> m_crash_times;
    time_point m_now = start + seconds(100);

private:
    struct process {
        registrar::suspicion_store m_board;
        std::vector<std::uint64_t>
            m_delivered_changes;  ///< by index of the peer: last own change delivered to it
        std::uint32_t m_order = 0;
        time_point m_runs_until{};
        bool m_wants_grant = false;
    };

    struct message {
        time_point m_at{};
        std::size_t m_from = 0;
        std::size_t m_to = 0;
        bool m_is_to_gateway = false;
        google::protobuf::RepeatedPtrField<wire::Suspicion> m_suspicions;
        std::uint64_t m_change = 0;
    };

    static void clear(process& self, std::vector<process>& others, std::size_t at)
    {
        const auto options = self.m_board.m_table.m_options;
        self.m_board = {};
        self.m_board.m_table.m_options = options;
        std::fill(self.m_delivered_changes.begin(), self.m_delivered_changes.end(), 0);
        self.m_runs_until = {};
        self.m_wants_grant = false;
        for (auto& other : others) {
            other.m_delivered_changes[at] = 0;
        }
    }

    void begin(process& self)
    {
        self.m_order = next_order(self.m_board.m_table, content);
        self.m_runs_until = m_now + milliseconds(100);
    }

    void end_run(std::size_t at)
    {
        auto& self = m_gateways[at];
        if (self.m_runs_until == time_point{} || self.m_runs_until > m_now) {
            return;
        }
        self.m_runs_until = {};
        self.m_wants_grant = false;
        m_crash_times.push_back(m_now);
        crash_report crash{upstream_id("u" + std::to_string(m_crash_times.size())), incarnation{1},
                           m_now, false};
        crash.m_order = self.m_order;
        take(self.m_board, {"p", {content, {crash}}});
        exchange(at);
    }

    /// One exchange of a gateway with all registries. The first registry issues the exclusive
    /// grants; its answer carries both the grant and the changes reported before.
    void exchange(std::size_t at)
    {
        auto& self = m_gateways[at];
        for (std::size_t i = 0; i < m_registries.size(); ++i) {
            send(self, at, i, false);
            send(m_registries[i], i, at, true);
        }
        copy(self, m_registries[0]);
        copy(m_registries[0], self);
        const bool is_running = self.m_runs_until != time_point{};
        const std::vector<fingerprint> wanted(self.m_wants_grant || is_running ? 1 : 0, content);
        const auto granted = set_wanted_turns(
            m_registries[0].m_board, permits::holder_id(std::to_string(at)), wanted, m_now);
        const auto where = standing_of(self.m_board.m_table, content, m_now);
        if (self.m_wants_grant && !is_running && !granted.empty() && where == standing::suspect) {
            begin(self);
        }
    }

    void copy(const process& from, process& to)
    {
        google::protobuf::RepeatedPtrField<wire::Suspicion> all;
        put_changes(from.m_board, 0, m_now, all);
        for (const auto& one : all) {
            take(to.m_board, registrar::from_wire(one, m_now));
        }
    }

    void send(process& self, std::size_t from, std::size_t to, bool is_to_gateway)
    {
        message item{
            m_now + milliseconds(5 + uniform_below(m_random, 40)), from, to, is_to_gateway, {}, 0};
        item.m_change =
            put_changes(self.m_board, self.m_delivered_changes[to], m_now, item.m_suspicions);
        if (!item.m_suspicions.empty() && uniform_below(m_random, 1000) >= m_loss_rate * 1000) {
            m_in_transit.push_back(std::move(item));
        }
    }

    void deliver()
    {
        std::deque<message> later;
        for (auto& item : m_in_transit) {
            if (item.m_at > m_now) {
                later.push_back(std::move(item));
                continue;
            }
            auto& target = item.m_is_to_gateway ? m_gateways[item.m_to] : m_registries[item.m_to];
            auto& source =
                item.m_is_to_gateway ? m_registries[item.m_from] : m_gateways[item.m_from];
            for (const auto& one : item.m_suspicions) {
                take(target.m_board, registrar::from_wire(one, m_now));
            }
            auto& delivered = source.m_delivered_changes[item.m_to];
            delivered = std::max(delivered, item.m_change);
        }
        m_in_transit = std::move(later);
    }

    std::vector<process> m_gateways;
    std::vector<process> m_registries;
    double m_loss_rate;
    std::deque<message> m_in_transit;
    random_engine m_random{11};
};

/// Sends copies one after the other, spread over all gateways.
void send_copies(simulated_deployment& deployment, std::size_t gateways, int copies,
                 time_span pause)
{
    for (int i = 0; i < copies; ++i) {
        deployment.arrive(static_cast<std::size_t>(i) * 7 % gateways);
        deployment.step(pause);
    }
}

class crash_content_sizes : public testing::TestWithParam<std::size_t> {};

TEST_P(crash_content_sizes, few_upstreams_end_in_the_whole_installation)
{
    for (const double loss_rate : {0.0, 0.3}) {
        simulated_deployment deployment(GetParam(), 5, loss_rate);
        send_copies(deployment, GetParam(), 60, milliseconds(400));
        EXPECT_EQ(deployment.m_crash_times.size(), 3U) << loss_rate;
    }
}

TEST_P(crash_content_sizes, few_end_where_gateways_and_registries_forget)
{
    simulated_deployment deployment(GetParam(), 5, 0.1);
    for (std::size_t i = 0; i < 40; ++i) {
        deployment.arrive(i * 7 % GetParam());
        deployment.step(milliseconds(200));
        deployment.forget_gateway(i % GetParam());
        if (i % 4 == 0) {
            deployment.forget_registry(i / 4 % 5);
        }
        deployment.step(milliseconds(200));
    }
    EXPECT_LE(deployment.m_crash_times.size(), 6U);
}

TEST_P(crash_content_sizes, copies_at_all_gateways_at_once_end_one_each_until_they_are_known)
{
    simulated_deployment deployment(GetParam(), 5, 0.0);
    for (int wave = 0; wave < 20; ++wave) {
        for (std::size_t i = 0; i < 8; ++i) {
            deployment.arrive((i * 5 + static_cast<std::size_t>(wave)) % GetParam());
        }
        deployment.step(seconds(1));
    }
    EXPECT_LE(deployment.m_crash_times.size(), 8U + 2U) << "the first wave, and two in turn";
}

INSTANTIATE_TEST_SUITE_P(gateways, crash_content_sizes, testing::Values(8, 42, 150, 420));

}  // namespace
}  // namespace dewbeam
