// Message routing in a large group: the messages that relays save, and the loss of a relay.
#include <gtest/gtest.h>

#include <map>

#include "dewbeam/base"
#include "dewbeam/src/group/group_router.h"

namespace dewbeam::group {
namespace {

constexpr std::uint32_t large = 129;
constexpr time_point now{std::chrono::seconds(1)};

wire::GroupMessage command_to(std::uint32_t rank, bool has_content = false)
{
    wire::GroupMessage result;
    result.set_group("g");
    result.set_from_rank(0);
    result.set_to_rank(rank);
    auto& command = *result.mutable_command();
    command.set_kind(has_content ? wire::GroupCommand::KIND_STAGE
                                 : wire::GroupCommand::KIND_CONFIRM);
    if (has_content) {
        command.set_packed_content("content");
    }
    return result;
}

std::vector<outgoing_command> commands_to_all(std::uint32_t ranks, bool has_content = false)
{
    std::vector<outgoing_command> result;
    for (std::uint32_t rank = 0; rank < ranks; ++rank) {
        result.push_back({command_to(rank, has_content), false});
    }
    return result;
}

/// All routers of a group, with counters for messages on the coordinator's link.
struct simulated_group {
    explicit simulated_group(std::uint32_t ranks)
    {
        for (std::uint32_t rank = 0; rank < ranks; ++rank) {
            m_routers.push_back(make_group_router("g", rank_id(rank), ranks));
        }
    }

    /// Delivers all messages, and those that result from them; each rank reports on its command at
    /// once.
    void deliver(std::uint32_t from, routing_result out)
    {
        for (auto& item : out.m_outgoing) {
            const auto to = item.m_to.value();
            m_coordinator_message_count += to != from && (to == 0 || from == 0) ? 1 : 0;
            if (to == m_lost) {
                continue;
            }
            std::visit([&](const auto& body) { deliver(to, take(m_routers[to], body)); },
                       item.m_body);
        }
        for (auto& message : out.m_own) {
            if (message.has_report()) {
                ++m_reports[message.from_rank()];
                continue;
            }
            m_contents += message.command().packed_content() == "content" ? 1 : 0;
            wire::GroupMessage report;
            report.set_group("g");
            report.set_from_rank(from);
            report.set_to_rank(message.from_rank());
            report.mutable_report();
            deliver(from, send_report(m_routers[from], std::move(report)));
        }
    }

    /// Lets all relays forward the reports that they have gathered.
    void flush_all()
    {
        for (std::uint32_t rank = 0; rank < m_routers.size(); ++rank) {
            deliver(rank, flush(m_routers[rank]));
        }
    }

    std::vector<group_router> m_routers;
    std::uint32_t m_lost = 1'000'000;
    std::map<std::uint32_t, int> m_reports;  ///< by rank
    int m_coordinator_message_count = 0;
    int m_contents = 0;
};

TEST(courier, a_small_group_needs_no_relay)
{
    simulated_group group(12);
    group.deliver(0, send_commands(group.m_routers[0], commands_to_all(12), now));
    EXPECT_EQ(group.m_reports.size(), 12U);
    EXPECT_EQ(group.m_coordinator_message_count, 22);
}

// Guards against overloading the coordinator. One that sent each of 129 commands and received each
// report directly spent its whole CPU share on heartbeats, and no map was changed.
TEST(courier, a_large_group_costs_its_coordinator_two_messages_a_block)
{
    for (const std::uint32_t ranks : {33U, 63U, large, 256U}) {
        simulated_group group(ranks);
        group.deliver(0, send_commands(group.m_routers[0], commands_to_all(ranks, true), now));
        EXPECT_EQ(group.m_reports.size(), ranks) << "every rank has reported";
        EXPECT_EQ(group.m_contents, static_cast<int>(ranks)) << "every rank has the map";
        EXPECT_EQ(group.m_coordinator_message_count, static_cast<int>(2 * reporter_count(ranks)));
    }
}

TEST(courier, repeats_go_around_a_lost_relay_and_another_takes_its_place)
{
    simulated_group group(large);
    const auto lost = *relay_of(group.m_routers[0], rank_id(large - 1), now);
    group.m_lost = lost.value();
    group.deliver(0, send_commands(group.m_routers[0], commands_to_all(large), now));
    const auto missing = large - group.m_reports.size();
    EXPECT_GT(missing, 1U);
    std::vector<outgoing_command> repeats;
    for (std::uint32_t rank = 0; rank < large; ++rank) {
        if (!group.m_reports.contains(rank)) {
            repeats.push_back({command_to(rank), true});
        }
    }
    auto again = send_commands(group.m_routers[0], repeats, now);
    EXPECT_EQ(again.m_lost_relays, std::vector<rank_id>{lost});
    group.deliver(0, std::move(again));
    EXPECT_EQ(group.m_reports.size(), large - 1);
    EXPECT_NE(relay_of(group.m_routers[0], rank_id(large - 1), now), lost);
    group.m_reports.clear();
    group.deliver(0, send_commands(group.m_routers[0], commands_to_all(large), now));
    group.flush_all();
    EXPECT_EQ(group.m_reports.size(), large - 1) << "without any repeat";
}

// Guards against direct repeats to most ranks. While the other agents were starting, a coordinator
// sent to 128 of them directly every 150 ms, over as many new connections.
TEST(courier, repeats_to_most_ranks_go_through_relays_as_well)
{
    simulated_group group(large);
    std::vector<outgoing_command> repeats;
    for (std::uint32_t rank = 1; rank < large; ++rank) {
        repeats.push_back({command_to(rank), true});
    }
    group.deliver(0, send_commands(group.m_routers[0], std::move(repeats), now));
    group.flush_all();
    EXPECT_EQ(group.m_reports.size(), large - 1);
    EXPECT_LE(group.m_coordinator_message_count, static_cast<int>(4 * reporter_count(large)));
}

TEST(courier, a_round_that_nobody_answers_blames_no_relay)
{
    simulated_group group(large);
    std::vector<outgoing_command> repeats;
    for (std::uint32_t rank = 1; rank < large; ++rank) {
        repeats.push_back({command_to(rank), true});
    }
    const auto first = relay_of(group.m_routers[0], rank_id(50), now);
    const auto out = send_commands(group.m_routers[0], repeats, now);
    EXPECT_TRUE(out.m_lost_relays.empty());
    EXPECT_NE(relay_of(group.m_routers[0], rank_id(50), now), first) << "another one tries";
}

/// Repeats for a range of ranks that have not answered.
std::vector<outgoing_command> repeats_to(std::uint32_t first, std::uint32_t end)
{
    std::vector<outgoing_command> result;
    for (std::uint32_t rank = first; rank < end; ++rank) {
        result.push_back({command_to(rank), true});
    }
    return result;
}

TEST(courier, a_late_first_answer_replaces_no_relay)
{
    simulated_group group(large);
    auto& router = group.m_routers[0];
    const auto first = relay_of(router, rank_id(50), now);
    send_commands(router, commands_to_all(large), now);
    for (const auto late : {150, 300, 450}) {
        const auto then = now + std::chrono::milliseconds(late);
        EXPECT_TRUE(send_commands(router, repeats_to(1, large), then).m_lost_relays.empty());
        EXPECT_EQ(relay_of(router, rank_id(50), then), first) << late << " ms";
    }
    const auto then = now + std::chrono::seconds(1);
    send_commands(router, repeats_to(1, large), then);
    const auto second = relay_of(router, rank_id(50), then);
    EXPECT_NE(second, first) << "another one tries";
    send_commands(router, repeats_to(1, large), then + std::chrono::milliseconds(150));
    EXPECT_EQ(relay_of(router, rank_id(50), then), second) << "it gets as much time";
}

TEST(courier, a_silent_block_replaces_no_relay_of_others)
{
    simulated_group group(large);
    auto& router = group.m_routers[0];
    const auto answered = relay_of(router, rank_id(50), now);
    const auto silent = relay_of(router, rank_id(large - 1), now);
    send_commands(router, commands_to_all(large), now);
    const auto then = now + std::chrono::seconds(1);
    send_commands(router, repeats_to(60, large), then);
    EXPECT_EQ(relay_of(router, rank_id(50), then), answered);
    EXPECT_NE(relay_of(router, rank_id(large - 1), then), silent);
}

TEST(courier, a_sign_of_life_blames_no_relay)
{
    simulated_group group(large);
    const auto relay = *relay_of(group.m_routers[0], rank_id(1), now);
    const auto out =
        send_commands(group.m_routers[0], {{command_to(relay.value()), true, true}}, now);
    EXPECT_TRUE(out.m_lost_relays.empty());
    EXPECT_EQ(relay_of(group.m_routers[0], rank_id(1), now), relay);
}

TEST(courier, reports_that_come_late_go_on_by_themselves)
{
    auto relay = make_group_router("g", rank_id(12), large);
    wire::GroupBundle bundle;
    bundle.set_group("g");
    for (const std::uint32_t rank : {12U, 13U, 14U}) {
        *bundle.add_messages() = command_to(rank);
    }
    EXPECT_EQ(take(relay, bundle).m_outgoing.size(), 2U);
    wire::GroupMessage report;
    report.set_from_rank(13);
    report.set_to_rank(0);
    report.mutable_report();
    EXPECT_TRUE(take(relay, report).m_outgoing.empty());
    const auto out = flush(relay);
    ASSERT_EQ(out.m_outgoing.size(), 1U);
    EXPECT_EQ(out.m_outgoing.front().m_to, rank_id(0));
    EXPECT_TRUE(flush(relay).m_outgoing.empty());
}

TEST(courier, messages_for_ranks_that_the_group_lacks_are_dropped)
{
    auto relay = make_group_router("g", rank_id(12), large);
    wire::GroupBundle bundle;
    bundle.set_group("g");
    *bundle.add_messages() = command_to(large + 1);
    *bundle.add_messages() = wire::GroupMessage();
    const auto out = take(relay, bundle);
    EXPECT_TRUE(out.m_outgoing.empty());
    EXPECT_TRUE(out.m_own.empty());
}

}  // namespace
}  // namespace dewbeam::group
