// The rank agent: orders to its engine, and the counts and maps that the ranks report.
#include "dewbeam/ranks"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <boost/asio.hpp>
#include <future>
#include <map>
#include <set>
#include <thread>

#include "dewbeam/experts"
#include "dewbeam/http"
#include "dewbeam/src/group/group_router.h"
#include "dewbeam/src/ranks/count_message.h"
#include "dewbeam/src/ranks/count_relay.h"
#include "dewbeam/src/ranks/count_wire.h"
#include "dewbeam/src/ranks/group_layout.h"
#include "dewbeam/src/ranks/rank_engine.h"

namespace dewbeam::ranks {
namespace {

using group_map::engine_order;
using group_map::order_kind;
using kind = rank_order::kind;

std::vector<kind> kinds_of(order_kind wanted, std::uint64_t map, bool must_raise = false)
{
    engine_order order;
    order.m_kind = wanted;
    order.m_number = fencing_number(9);
    order.m_target = {group_map::map_of_number(map), group_map::step_number(40)};
    std::vector<kind> result;
    for (const auto& item : to_rank_orders(order, 3, nullptr, must_raise)) {
        EXPECT_EQ(item.m_fencing, fencing_number(9));
        EXPECT_EQ(item.m_formation, 3U);
        result.push_back(item.m_kind);
    }
    return result;
}

TEST(rank_engine, goes_on_only_behind_an_arm_or_a_disarm)
{
    EXPECT_EQ(kinds_of(order_kind::stage, 7), std::vector{kind::prepare});
    EXPECT_EQ(kinds_of(order_kind::hold, 7), std::vector{kind::hold});
    EXPECT_EQ(kinds_of(order_kind::switch_map, 7), (std::vector{kind::arm, kind::go}));
    EXPECT_EQ(kinds_of(order_kind::release, 7), (std::vector{kind::disarm, kind::go}));
    EXPECT_EQ(kinds_of(order_kind::release, 0), std::vector{kind::go});
}

TEST(rank_engine, a_read_of_a_new_life_raises_the_fencing_number)
{
    EXPECT_TRUE(kinds_of(order_kind::read, 0).empty());
    EXPECT_EQ(kinds_of(order_kind::read, 0, true), std::vector{kind::go});
}

/// A minimal format: enough to send orders and read a report.
rank_format small_format()
{
    rank_format result;
    result.m_report_call = [] { return http::request{"GET", "/report", {}, {}}; };
    result.m_read_report = [](std::string_view) -> absl::StatusOr<rank_report> {
        rank_report report;
        report.m_is_open = true;
        report.m_step = group_map::step_number(5);
        return report;
    };
    result.m_order_call = [](const rank_order& order) {
        return http::request{"POST", "/order", {}, std::to_string(order.m_fencing.value())};
    };
    result.m_read_order_result = [](int status) {
        return status == 200 ? order_result::done : order_result::refused;
    };
    return result;
}

/// A loopback engine that leaves orders unanswered up to number `m_first_answered_order`.
class unresponsive_engine {
public:
    explicit unresponsive_engine(int first_answered) : m_first_answered_order(first_answered)
    {
        http::server_options options;
        options.m_listen = {"127.0.0.1", 0};
        m_server =
            http::server::start(
                m_context, options,
                [this](http::request&& wanted, const auto& answer) {
                    if (wanted.m_method == "POST" && ++m_orders < m_first_answered_order) {
                        m_unanswered.push_back(answer);
                        return;
                    }
                    answer->respond(http::json_response(200, "{}"));
                },
                [](int, std::string_view code, std::string_view) { return std::string(code); })
                .value();
        m_thread = std::thread([this] {
            const auto keep_running = boost::asio::make_work_guard(m_context);
            m_context.run();
        });
    }

    ~unresponsive_engine()
    {
        m_context.stop();
        m_thread.join();
    }

    unresponsive_engine(const unresponsive_engine&) = delete;
    unresponsive_engine& operator=(const unresponsive_engine&) = delete;
    unresponsive_engine(unresponsive_engine&&) = delete;
    unresponsive_engine& operator=(unresponsive_engine&&) = delete;

    boost::asio::io_context m_context;
    std::unique_ptr<http::server> m_server;
    std::vector<std::shared_ptr<http::exchange>> m_unanswered;
    std::thread m_thread;
    std::atomic<int> m_orders = 0;
    std::atomic<int> m_first_answered_order;
};

/// Sends one `hold` order through a port and returns its result.
absl::StatusOr<group_map::engine_answer> hold_through(rank_engine* port, fencing_number number,
                                                      std::chrono::milliseconds cancel_after)
{
    engine_order order;
    order.m_kind = order_kind::hold;
    order.m_number = number;
    order.m_target = {group_map::map_of_number(7), group_map::step_number(40)};
    std::promise<absl::StatusOr<group_map::engine_answer>> ended;
    auto result = ended.get_future();
    port->send(order, [&](const absl::StatusOr<group_map::engine_answer>& answer) {
        ended.set_value(answer);
    });
    if (result.wait_for(cancel_after) != std::future_status::ready) {
        port->cancel();
    }
    return result.get();
}

/// The same through a new port to an engine.
absl::StatusOr<group_map::engine_answer> hold_at(unresponsive_engine& engine,
                                                 std::chrono::milliseconds cancel_after)
{
    const auto format = small_format();
    const auto port = std::make_shared<rank_engine>(engine.m_context, engine.m_server->address(),
                                                    http::client_options(), format);
    return hold_through(port.get(), fencing_number(9), cancel_after);
}

std::atomic<std::uint64_t> ordered_formation = 0;

TEST(rank_engine, an_order_is_for_the_formation_that_it_was_decided_for)
{
    unresponsive_engine engine(1);
    auto format = small_format();
    format.m_order_call = [](const rank_order& order) {
        ordered_formation = order.m_formation;
        return http::request{"POST", "/order", {}, {}};
    };
    rank_report known;
    known.m_formation = 3;
    const auto port = std::make_shared<rank_engine>(engine.m_context, engine.m_server->address(),
                                                    http::client_options(), format);
    engine_order order;
    order.m_kind = order_kind::hold;
    order.m_number = fencing_number(9);
    order.m_group = to_state(known).m_group;
    std::promise<void> ended;
    port->send(order, [&](const absl::StatusOr<group_map::engine_answer>&) { ended.set_value(); });
    ended.get_future().wait();
    EXPECT_EQ(ordered_formation, 3U);
}

TEST(rank_engine, an_unanswered_order_is_sent_again_until_a_copy_is_answered)
{
    unresponsive_engine engine(4);
    const auto answer = hold_at(engine, std::chrono::seconds(10));
    ASSERT_TRUE(answer.ok()) << answer.status().message();
    EXPECT_TRUE(answer->m_accepted);
    EXPECT_EQ(engine.m_orders, 4);
}

TEST(rank_engine, an_unanswered_order_of_a_new_participant_is_sent_again)
{
    unresponsive_engine engine(1);
    const auto format = small_format();
    const auto port = std::make_shared<rank_engine>(engine.m_context, engine.m_server->address(),
                                                    http::client_options(), format);
    const auto limit = std::chrono::milliseconds(500);
    ASSERT_TRUE(hold_through(port.get(), fencing_number(9), limit).ok());
    engine.m_first_answered_order = 4;
    EXPECT_TRUE(hold_through(port.get(), fencing_number(1), limit).ok());
}

TEST(rank_engine, copies_of_an_order_end_with_its_cancellation)
{
    unresponsive_engine engine(1000);
    EXPECT_FALSE(hold_at(engine, std::chrono::milliseconds(300)).ok());
    const int sent = engine.m_orders;
    EXPECT_LE(sent, 6);
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    EXPECT_EQ(engine.m_orders, sent);
}

TEST(rank_engine, a_rank_that_is_armed_and_held_has_not_switched)
{
    rank_report report;
    report.m_formation = 2;
    report.m_step = group_map::step_number(10);
    report.m_map = 5;
    report.m_prepared = 6;
    auto state = to_state(report);
    EXPECT_EQ(state.m_step, group_map::step_number(11));
    EXPECT_FALSE(state.m_armed);
    report.m_held = group_map::step_number(14);
    state = to_state(report);
    EXPECT_EQ(state.m_armed->m_map, group_map::map_of_number(6));
    EXPECT_EQ(group_map::settled_map(state), group_map::map_of_number(5));
    report.m_armed = armed_map{6, group_map::step_number(14)};
    EXPECT_EQ(group_map::settled_map(to_state(report)), group_map::map_of_number(5));
    report.m_held.reset();
    EXPECT_TRUE(to_state(report).m_switching);
    EXPECT_EQ(group_map::settled_map(to_state(report)), group_map::map_of_number(6));
}

TEST(count_wire, what_is_rounded_off_comes_with_a_later_telling)
{
    for (const std::uint32_t bits : {4U, 8U}) {
        reported_counts reported;
        std::vector<std::uint64_t> totals;
        std::vector<std::uint64_t> counts{0, 65'000, 9'000'000};
        ASSERT_TRUE(add_counts(totals, pack_counts(reported, counts, bits), counts.size()));
        for (int round = 0; round < 10; ++round) {
            counts[0] += 4;
            counts[1] += 4'000;
            counts[2] += 60'000;
            const auto sent = pack_counts(reported, counts, bits);
            EXPECT_EQ(sent.m_bytes.size(), bits == 4 ? 2U : 3U);
            ASSERT_TRUE(add_counts(totals, sent, counts.size()));
        }
        while (totals != std::vector<std::uint64_t>{40, 40'000, 600'000}) {
            const auto before = totals;
            ASSERT_TRUE(add_counts(totals, pack_counts(reported, counts, bits), counts.size()));
            ASSERT_NE(totals, before) << bits << " bits: some counts are never reported";
        }
    }
}

RC_GTEST_PROP(count_wire, no_count_is_off_by_more_than_was_dropped, (std::uint64_t seed))
{
    random_engine random(seed);
    reported_counts reported;
    std::vector<std::uint64_t> totals;
    std::vector<std::uint64_t> counts(31, 1'000);
    const std::uint32_t bits = uniform_below(random, 2) == 0 ? 4 : 8;
    for (int round = 0; round < 20; ++round) {
        for (auto& count : counts) {
            count += uniform_below(random, 5'000);
        }
        const auto sent = pack_counts(reported, counts, bits);
        RC_ASSERT(add_counts(totals, sent, counts.size()));
        for (std::size_t i = 0; i < counts.size(); ++i) {
            RC_ASSERT(counts[i] - reported.m_reported[i] < (1ULL << sent.m_dropped_bits));
        }
    }
}

TEST(count_wire, an_engine_that_starts_anew_is_told_from_its_new_beginning)
{
    reported_counts reported;
    std::vector<std::uint64_t> totals;
    for (const std::uint64_t count : {500, 700, 30, 90}) {
        ASSERT_TRUE(add_counts(totals, pack_counts(reported, {count}, 8), 1));
    }
    EXPECT_EQ(totals, std::vector<std::uint64_t>{260});  // 500 to 700, then 30 to 90
}

TEST(count_relay, tells_the_sum_of_what_its_ranks_told)
{
    constexpr std::size_t ranks = 3;
    const time_point now{std::chrono::seconds(1)};
    std::vector<reported_counts> reported(ranks);
    count_relay relay;
    std::vector<std::uint64_t> total;
    for (const std::uint64_t step : {10, 20, 30}) {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            const rank_counts counts{1, step, {step * 10, step * (rank + 1), 0}};
            const auto message =
                to_wire(rank_id(rank), counts, {1, 0, {{rank}}}, 1.0, 8, reported[rank]);
            EXPECT_FALSE(is_due(relay, ranks, now)) << "ranks are missing";
            ASSERT_TRUE(add(relay, rank_id(7), message, now));
        }
        ASSERT_TRUE(is_due(relay, ranks, now));
        const auto sum = take_sum(relay, 8);
        ASSERT_TRUE(sum);
        EXPECT_EQ(sum->ranks_size(), static_cast<int>(ranks));
        EXPECT_EQ(sum->steps(), step == 10 ? 0U : 10 * ranks);
        ASSERT_TRUE(add_counts(total, packed_of(*sum), 3));
    }
    // Each rank's first report only sets its baseline; the others may lack what was rounded off.
    EXPECT_NEAR(static_cast<double>(total[0]), 600.0, 16.0);
    EXPECT_NEAR(static_cast<double>(total[1]), 120.0, 16.0);
    EXPECT_FALSE(take_sum(relay, 8)) << "no new report arrived";
}

TEST(count_relay, counts_that_cannot_be_read_change_nothing)
{
    const time_point now{std::chrono::seconds(1)};
    reported_counts reported;
    count_relay relay;
    auto message = to_wire(rank_id(1), {1, 10, {1, 2}}, {1, 0, {{1}}}, 1.0, 8, reported);
    ASSERT_TRUE(add(relay, rank_id(0), message, now));
    message.set_formation(2);
    message.set_experts(4'000'000'000);
    EXPECT_FALSE(add(relay, rank_id(0), message, now));
    EXPECT_EQ(relay.m_formation, 1U);
    EXPECT_EQ(relay.m_ranks.size(), 1U);
}

TEST(count_relay, waits_for_a_late_rank_for_a_moment_only)
{
    const time_point now{std::chrono::seconds(1)};
    reported_counts reported;
    count_relay relay;
    const auto message = to_wire(rank_id(1), {1, 10, {1, 2}}, {1, 0, {{1}}}, 1.0, 8, reported);
    ASSERT_TRUE(add(relay, rank_id(0), message, now));
    EXPECT_FALSE(is_due(relay, 2, now));
    EXPECT_TRUE(is_due(relay, 2, now + std::chrono::milliseconds(100)));
}

TEST(count_pace, counts_leave_half_of_the_link_to_other_messages)
{
    for (const std::size_t reporter_count : {8, 12, 32, 100}) {
        for (const std::int64_t rate : {250'000, 750'000, 125'000'000}) {
            constexpr std::size_t counts = 4128;
            const auto parameters = report_parameters_for(reporter_count, counts, {rate});
            const auto bytes = static_cast<double>(reporter_count * counts * parameters.m_bits) / 8;
            EXPECT_LE(bytes / to_seconds(parameters.m_interval), static_cast<double>(rate) / 2 + 1);
        }
    }
}

// Guards against overloading the hosts that may coordinate while none does. No relays are in use
// then, and requests to the upstreams on those hosts arrived seconds late.
TEST(count_pace, ranks_without_a_coordinator_leave_half_of_the_link_to_other_messages)
{
    constexpr std::size_t ranks = 129;
    constexpr std::size_t counts = 4128;
    constexpr byte_count link{750'000};
    rank_counts counted;
    counted.m_counts.assign(counts, 1'000'000);
    counted.m_step = 1'000'000;
    rank_holding holding;
    holding.m_map = 1'000'000;
    holding.m_held.assign(16, std::vector<std::uint32_t>(3, 250));
    const auto load = [&](const wire::RankCounts& message, time_span interval) {
        wire::Envelope envelope;
        *envelope.mutable_group()->mutable_counts() = message;
        return ranks * envelope.ByteSizeLong() / to_seconds(interval);
    };
    const auto alive = liveness_report(rank_id(7), counted, holding, 1.0);
    EXPECT_LE(load(alive, report_parameters_for(ranks, 0, link).m_interval), link.m_count / 2);
    // Full reports from every rank, at the rate meant for relays, would exceed the link.
    const auto relayed = report_parameters_for(group::reporter_count(ranks), counts, link);
    reported_counts reported;
    const auto complete = to_wire(rank_id(7), counted, holding, 1.0, relayed.m_bits, reported);
    EXPECT_GT(load(complete, relayed.m_interval), 2 * link.m_count);
}

TEST(count_wire, bytes_that_fit_no_counts_add_nothing)
{
    std::vector<std::uint64_t> totals{7, 8, 9};
    EXPECT_FALSE(add_counts(totals, {"abc", 4, 0}, 3));
    EXPECT_FALSE(add_counts(totals, {"abc", 5, 0}, 3));
    EXPECT_FALSE(add_counts(totals, {"abc", 8, 64}, 3));
    EXPECT_FALSE(add_counts(totals, {"ab", 8, 0}, 3));
    EXPECT_EQ(totals, (std::vector<std::uint64_t>{7, 8, 9}));
}

registry::announcement rank_announcement(const std::string& name, std::uint32_t rank,
                                         std::uint64_t formation, const std::string& ip)
{
    registry::announcement result;
    result.m_name = upstream_id(name);
    result.m_address = {ip, 80};
    result.m_group = registry::group_place{"g", formation, rank_id(rank), false};
    return result;
}

TEST(group_layout, is_known_once_every_rank_was_announced_and_the_later_formation_counts)
{
    rank_report report;
    report.m_group = "g";
    report.m_ranks = 2;
    report.m_rank = rank_id(1);
    std::map<upstream_id, registry::announcement> announced;
    announced[upstream_id("b")] = rank_announcement("b", 1, 3, "10.0.0.2");
    EXPECT_FALSE(find_layout(report, announced, 7000));
    announced[upstream_id("a")] = rank_announcement("a", 0, 4, "10.0.0.1");
    announced[upstream_id("c")] = rank_announcement("c", 0, 3, "10.0.0.9");
    const auto found = find_layout(report, announced, 7000);
    ASSERT_TRUE(found);
    EXPECT_EQ(found->m_members,
              (std::vector<std::string>{"tcp://10.0.0.1:7000", "tcp://10.0.0.2:7000"}));
    EXPECT_EQ(found->m_engines[0].m_ip, "10.0.0.1");
    EXPECT_EQ(found->m_rank, rank_id(1));
}

TEST(placement, survives_json_and_refuses_the_rest)
{
    const placement wanted{{{0, 2}, {1}}, {{1}, {0, 2}}};
    EXPECT_EQ(*placement_from_json(to_json(wanted)), wanted);
    for (const auto* text : {"", "{}", "[1]", "[[1]]", "[[[-1]]]", "[[[\"a\"]]]"}) {
        EXPECT_FALSE(placement_from_json(text).ok()) << text;
    }
}

TEST(coordinator, unique_numbers_rise_above_all_that_any_rank_met)
{
    group_map::coordinator_options options;
    options.m_ranks = 1;
    options.m_incarnation = incarnation(7);
    options.m_unique_numbers = true;
    const time_point now{};
    const auto propose_after = [&](std::uint64_t met) {
        auto coordinator = group_map::make_coordinator(options);
        group_map::activate(coordinator, 0, now);
        coordinator.m_phase = group_map::phase::settled;
        coordinator.m_ranks[0].m_engine.m_staged = group_map::map_of_number(met);
        group_map::coordinator_effects effects;
        group_map::propose(coordinator, std::make_shared<const std::string>("map"), now, effects);
        return effects.m_commands.at(0).m_target.m_map;
    };
    const auto first = propose_after(0);
    const auto second = propose_after(first.m_number);
    EXPECT_GT(second.m_number, first.m_number);
    EXPECT_EQ(first.m_content, fingerprint(first.m_number));
}

TEST(coordinator, names_ranks_that_owe_an_answer)
{
    group_map::coordinator_options options;
    options.m_ranks = 3;
    auto coordinator = group_map::make_coordinator(options);
    const time_point now{std::chrono::seconds(5)};
    const auto timeout = std::chrono::milliseconds(300);
    EXPECT_TRUE(group_map::late_ranks(coordinator, timeout, now).empty());
    group_map::activate(coordinator, 0, now);
    EXPECT_TRUE(group_map::late_ranks(coordinator, timeout, now).empty());
    EXPECT_EQ(group_map::late_ranks(coordinator, timeout, now + timeout).size(), 3U);
}

// Guards against needless takeovers. A rank whose packets were lost delayed a round for more than a
// second. The next ranks had answered, received nothing meanwhile and took over, then the deposed
// coordinator took over again, and no map changed for five seconds.
TEST(coordinator, shows_those_who_would_step_in_that_it_waits_for_another_rank)
{
    group_map::coordinator_options options;
    options.m_ranks = 5;
    options.m_heartbeat_interval = std::chrono::milliseconds(200);
    auto coordinator = group_map::make_coordinator(options);
    const time_point begin{std::chrono::seconds(5)};
    group_map::activate(coordinator, 0, begin);
    for (std::uint32_t rank = 0; rank < 4; ++rank) {
        group_map::report answer;
        answer.m_from = rank_id(rank);
        answer.m_promised = coordinator.m_epoch;
        answer.m_round = coordinator.m_round;
        answer.m_life = {incarnation(1), incarnation(1)};
        group_map::receive(coordinator, answer, begin);
    }
    std::map<std::uint32_t, time_point> last_commands;
    for (auto now = begin; now < begin + std::chrono::seconds(3);
         now += std::chrono::milliseconds(20)) {
        for (const auto& command : group_map::tick(coordinator, now).m_commands) {
            last_commands[command.m_to.value()] = now;
        }
        for (const std::uint32_t candidate : {1, 2}) {
            const auto last = last_commands.contains(candidate) ? last_commands[candidate] : begin;
            ASSERT_LE(now - last, std::chrono::milliseconds(220)) << "rank " << candidate;
        }
        ASSERT_FALSE(last_commands.contains(3)) << "it has answered and takes over from nobody";
    }
    EXPECT_TRUE(last_commands.contains(4));
}

}  // namespace
}  // namespace dewbeam::ranks

namespace dewbeam::experts {
namespace {

group_shape shape()
{
    group_shape result;
    result.m_ranks = 2;
    result.m_slots_per_rank = 3;
    result.m_experts = 4;
    result.m_layers = 1;
    return result;
}

constexpr time_point at_ms(int ms)
{
    return time_point(std::chrono::milliseconds(ms));
}

/// The report of one rank: its choices since the last report, made in `steps` steps.
count_sample sample(std::uint32_t rank, std::uint64_t step, std::uint64_t steps,
                    std::vector<std::uint64_t> counts, std::vector<std::uint32_t> held, int ms)
{
    rank_state state;
    state.m_step = step;
    state.m_held = {std::move(held)};
    state.m_at = at_ms(ms);
    count_sample result;
    result.m_formation = 1;
    result.m_counts = std::move(counts);
    result.m_steps = steps;
    result.m_ranks = {{rank_id(rank), state}};
    return result;
}

TEST(rank_book, adds_up_what_all_ranks_counted_since_the_last_time)
{
    auto book = make_rank_book(shape());
    EXPECT_TRUE(note(book, sample(0, 10, 0, {0, 0, 0, 0}, {0, 2}, 0), at_ms(0)));
    EXPECT_FALSE(take_observation(book, at_ms(0))) << "a rank is missing";
    EXPECT_TRUE(note(book, sample(1, 10, 0, {0, 0, 0, 0}, {1, 3}, 0), at_ms(0)));
    EXPECT_FALSE(take_observation(book, at_ms(0))) << "nothing to compare with";
    note(book, sample(0, 20, 10, {10, 0, 0, 0}, {0, 2}, 100), at_ms(100));
    EXPECT_FALSE(take_observation(book, at_ms(100))) << "only one of two ranks has reported";
    note(book, sample(1, 20, 10, {10, 30, 0, 0}, {1, 3}, 100), at_ms(100));
    const auto seen = take_observation(book, at_ms(100));
    ASSERT_TRUE(seen);
    EXPECT_EQ(seen->m_steps, 10.0);
    EXPECT_EQ(seen->m_span, std::chrono::milliseconds(100));
    // The last entry stands for the empty slots.
    EXPECT_EQ(seen->m_tokens_per_step.at(0), (layer_counts{2.0, 3.0, 0.0, 0.0, 0.0}));
}

TEST(rank_book, a_relayed_sum_is_worth_what_its_ranks_told_one_by_one)
{
    auto book = make_rank_book(shape());
    auto relayed_sum = sample(0, 10, 0, {0, 0, 0, 0}, {0, 2}, 0);
    relayed_sum.m_ranks.push_back(sample(1, 10, 0, {0, 0, 0, 0}, {1, 3}, 0).m_ranks.front());
    note(book, relayed_sum, at_ms(0));
    EXPECT_FALSE(take_observation(book, at_ms(0))) << "nothing to compare with";
    for (auto& [rank, state] : relayed_sum.m_ranks) {
        state.m_step = 20;
    }
    relayed_sum.m_counts = {20, 30, 0, 0};
    relayed_sum.m_steps = 20;
    note(book, relayed_sum, at_ms(100));
    const auto seen = take_observation(book, at_ms(100));
    ASSERT_TRUE(seen);
    EXPECT_EQ(seen->m_tokens_per_step.at(0), (layer_counts{2.0, 3.0, 0.0, 0.0, 0.0}));
}

// Guards against one late rank of 129 stopping all planning without any log message.
TEST(rank_book, a_late_rank_is_stood_in_for_by_the_counts_of_the_others)
{
    auto wide = shape();
    wide.m_ranks = 4;
    auto book = make_rank_book(wide);
    for (std::uint32_t rank = 0; rank < 4; ++rank) {
        note(book, sample(rank, 10, 0, {0, 0, 0, 0}, {rank}, 0), at_ms(0));
    }
    EXPECT_FALSE(take_observation(book, at_ms(0))) << "nothing to compare with";
    for (std::uint32_t rank = 0; rank < 3; ++rank) {
        note(book, sample(rank, 20, 10, {30, 0, 0, 0}, {rank}, 200), at_ms(200));
    }
    EXPECT_FALSE(take_observation(book, at_ms(200))) << "the last report may still arrive";
    EXPECT_EQ(silent_ranks(book), std::vector<rank_id>{rank_id(3)});
    const auto seen = take_observation(book, at_ms(700));
    ASSERT_TRUE(seen);
    EXPECT_EQ(seen->m_tokens_per_step.at(0).at(0), 12.0);
}

TEST(rank_book, samples_that_do_not_fit_are_passed_over)
{
    auto book = make_rank_book(shape());
    EXPECT_FALSE(note(book, sample(2, 1, 0, {0, 0, 0, 0}, {0}, 0), at_ms(0)));
    EXPECT_FALSE(note(book, sample(0, 1, 0, {0, 0, 0}, {0}, 0), at_ms(0)));
    EXPECT_FALSE(note(book, sample(0, 1, 0, {0, 0, 0, 0}, {4}, 0), at_ms(0)));
    EXPECT_FALSE(note(book, sample(0, 1, 0, {0, 0, 0, 0}, {0, 1, 2, 3}, 0), at_ms(0)));
}

TEST(rank_book, the_map_is_what_all_hold_with_empty_places_filled)
{
    auto book = make_rank_book(shape());
    note(book, sample(0, 1, 0, {0, 0, 0, 0}, {0, 2}, 0), at_ms(0));
    note(book, sample(1, 1, 0, {0, 0, 0, 0}, {1, 3}, 0), at_ms(0));
    const auto map = map_in_force(book);
    ASSERT_TRUE(map);
    EXPECT_EQ(map->m_shape.m_experts, 5U);
    EXPECT_EQ(to_lists(*map, 4),
              (std::vector<std::vector<std::vector<std::uint32_t>>>{{{0, 2}, {1, 3}}}));
    auto newer = sample(1, 1, 0, {0, 0, 0, 0}, {1, 3}, 0);
    newer.m_ranks.front().second.m_map = 8;
    note(book, newer, at_ms(0));
    EXPECT_FALSE(map_in_force(book)) << "the ranks use different maps";
}

TEST(rank_book, a_group_that_forms_anew_is_told_of_from_its_beginning)
{
    auto book = make_rank_book(shape());
    note(book, sample(0, 1, 0, {0, 0, 0, 0}, {0, 2}, 0), at_ms(0));
    auto newer = sample(1, 1, 0, {0, 0, 0, 0}, {1, 3}, 0);
    newer.m_formation = 2;
    note(book, newer, at_ms(10));
    EXPECT_EQ(silent_ranks(book), std::vector<rank_id>{rank_id(0)});
    EXPECT_TRUE(note(book, sample(0, 9, 5, {7, 0, 0, 0}, {0, 2}, 20), at_ms(20)));
    EXPECT_EQ(silent_ranks(book), std::vector<rank_id>{rank_id(0)})
        << "it reported the old formation";
    EXPECT_EQ(book.m_counts.front(), 0U);
}

TEST(local_search, a_rank_takes_no_more_new_experts_than_it_may)
{
    group_shape wide;
    wide.m_ranks = 4;
    wide.m_slots_per_rank = 6;
    wide.m_experts = 17;
    wide.m_layers = 1;
    random_engine random(11);
    for (int round = 0; round < 30; ++round) {
        layer_counts counts(wide.m_experts, 0.0);
        for (std::size_t i = 0; i + 1 < counts.size(); ++i) {
            counts[i] = static_cast<double>(uniform_below(random, 1000));
        }
        const auto before = initial_map(wide).m_layers.front();
        auto after = before;
        for (const auto& change : search_layer(wide, before, counts, {}, {32, 1.0, 1})) {
            apply(after, change);
        }
        for (std::uint32_t rank = 0; rank < wide.m_ranks; ++rank) {
            const auto first = before.begin() + std::ptrdiff_t{rank} * wide.m_slots_per_rank;
            std::set<std::uint32_t> fresh;
            for (std::uint32_t i = 0; i < wide.m_slots_per_rank; ++i) {
                const auto taken = after[rank * wide.m_slots_per_rank + i];
                if (std::find(first, first + wide.m_slots_per_rank, taken) ==
                    first + wide.m_slots_per_rank) {
                    fresh.insert(taken.value());
                }
            }
            EXPECT_LE(fresh.size(), 1U);
        }
        EXPECT_LE(load_of(wide, after, counts).m_slowest, load_of(wide, before, counts).m_slowest);
    }
}

}  // namespace
}  // namespace dewbeam::experts
