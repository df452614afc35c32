// Followers of the registries: who is invited, and how long a follower takes to be in touch again.
#include "dewbeam/src/registrar/follower_table.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "dewbeam/link"
#include "dewbeam/src/registrar/document_fetch.h"
#include "dewbeam/src/registrar/registry_feed.h"

namespace dewbeam::registrar {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start = time_point(hours(1));
const follower_place gateway{"tcp://10.0.0.1:7000", host_id("g0")};

TEST(follower_table, invites_a_follower_that_stopped_watching)
{
    follower_table table;
    EXPECT_FALSE(note_watch(table, gateway, start));
    EXPECT_TRUE(take_due_invitations(table, start + seconds(1)).empty());
    const auto due = take_due_invitations(table, start + invitation_delay);
    EXPECT_EQ(due, std::vector{gateway});
    EXPECT_TRUE(take_due_invitations(table, start + invitation_delay + milliseconds(100)).empty());
    EXPECT_EQ(take_due_invitations(table, start + invitation_delay + invitation_interval).size(),
              1U);
    EXPECT_TRUE(note_watch(table, gateway, start + seconds(4))) << "it was invited";
    EXPECT_FALSE(note_watch(table, gateway, start + seconds(4)));
    EXPECT_TRUE(take_due_invitations(table, start + seconds(5)).empty());
}

TEST(follower_table, silent_followers_take_turns)
{
    follower_table table;
    std::set<std::string> all;
    for (std::size_t i = 0; i < 3 * max_invitations; ++i) {
        const auto address = "tcp://10.0.1." + std::to_string(i) + ":7000";
        all.insert(address);
        note_watch(table, {address, host_id("g" + std::to_string(i))}, start);
    }
    auto now = start + invitation_delay;
    for (int round = 0; round < 3; ++round, now += invitation_interval) {
        const auto due = take_due_invitations(table, now);
        EXPECT_EQ(due.size(), max_invitations);
        for (const auto& place : due) {
            all.erase(place.m_address);
        }
    }
    EXPECT_TRUE(all.empty());
}

TEST(follower_table, a_registry_that_was_held_up_waits_for_watches_that_it_may_not_have_read)
{
    follower_table table;
    note_watch(table, gateway, start);
    postpone_invitations(table, seconds(5));
    EXPECT_TRUE(take_due_invitations(table, start + seconds(6)).empty());
    EXPECT_EQ(take_due_invitations(table, start + seconds(7)).size(), 1U);
}

TEST(follower_table, registries_tell_each_other_their_followers)
{
    follower_table table;
    note_watch(table, gateway, start);
    wire::RegistrySync sync;
    put_new_followers(table, start + seconds(1), sync);
    follower_table successor;
    const auto later = start + seconds(20);
    take_followers(successor, sync, later);
    EXPECT_EQ(take_due_invitations(successor, later + invitation_delay), std::vector{gateway});
    wire::RegistrySync again;
    put_new_followers(table, start + seconds(2), again);
    EXPECT_EQ(again.followers_size(), 0) << "told already";
    put_all_followers(table, start + seconds(2), again);
    EXPECT_EQ(again.followers_size(), 1);
}

TEST(follower_table, an_older_report_does_not_give_an_address_back_to_its_former_host)
{
    follower_table table;
    note_watch(table, {gateway.m_address, host_id("g7")}, start);
    note_follower(table, gateway, seconds(3), start);
    EXPECT_EQ(table.m_followers.at(gateway.m_address).m_host, host_id("g7"));
}

TEST(follower_table, forgets_followers_that_are_gone_for_long)
{
    follower_table table;
    note_watch(table, gateway, start);
    EXPECT_EQ(take_due_invitations(table, start + follower_retention - seconds(1)).size(), 1U);
    EXPECT_TRUE(take_due_invitations(table, start + follower_retention).empty());
    EXPECT_TRUE(table.m_followers.empty());
}

TEST(follower_table, is_bounded)
{
    follower_table table;
    for (std::size_t i = 0; i < max_followers + 10; ++i) {
        const auto address =
            "tcp://10.1." + std::to_string(i / 250) + "." + std::to_string(i % 250) + ":7000";
        note_watch(table, {address, host_id("g")}, start + milliseconds(i));
    }
    EXPECT_EQ(table.m_followers.size(), max_followers);
    EXPECT_FALSE(table.m_followers.contains("tcp://10.1.0.0:7000")) << "the oldest goes first";
}

TEST(follower_table, keeps_no_address_that_is_none)
{
    follower_table table;
    note_watch(table, {"", host_id("g0")}, start);
    note_watch(table, {"tcp://somewhere", host_id("g0")}, start);
    note_watch(table, {gateway.m_address, host_id{}}, start);
    EXPECT_TRUE(table.m_followers.empty());
}

TEST(follower_table, outlasts_a_restart)
{
    follower_table table;
    note_watch(table, gateway, start);
    EXPECT_EQ(parse_followers(to_json(table)), std::vector{gateway});
    EXPECT_TRUE(parse_followers("[{\"address\":1},{},3").empty());
    EXPECT_TRUE(parse_followers("[{\"address\":1},{},3]").empty());
}

TEST(watch_invitation, is_for_one_host_and_from_a_member_of_a_log)
{
    wire::WatchInvitation invitation;
    invitation.set_host("g0");
    EXPECT_TRUE(is_for(invitation, 5, "g0"));
    EXPECT_FALSE(is_for(invitation, 5, "g1")) << "the address is another host's by now";
    EXPECT_FALSE(is_for(invitation, 0, "g0"));
}

// The time from a healed link until the newest revision is in force, without a second fault.
TEST(contact_bound, a_follower_is_in_touch_within_three_seconds)
{
    const time_span bound = seconds(3);
    const time_span attempt = link::node_options{}.m_silence_limit;
    const time_span first_packet_repeated = seconds(1);  // by the system, after a dropped one
    const time_span handshake = milliseconds(400);       // on a host short of processor time
    const time_span tick = milliseconds(25);             // of a registry; a gateway's is shorter
    const time_span document = preferred_wait + milliseconds(150);
    // The packet that the system repeats within an attempt is dropped, too; the next attempt is
    // begun by the next message.
    const auto reconnects = [&](time_span message_interval) {
        return attempt - first_packet_repeated + message_interval + tick;
    };
    const auto by_itself = reconnects(update_interval(1000, {})) + handshake + document;
    const auto invited = reconnects(invitation_interval) + handshake + tick + handshake + document;
    EXPECT_LE(by_itself, bound);
    EXPECT_LE(invited, bound);
}

/// A feed whose watches go nowhere.
struct silent_feed {
    std::set<std::string> m_watched;
    registry_feed m_feed;

    explicit silent_feed(const std::vector<std::string>& seeds)
        : m_feed(seeds, options(), handlers())
    {
    }

    static feed_options options()
    {
        feed_options result;
        result.m_host = "g0";
        return result;
    }

    feed_handlers handlers()
    {
        feed_handlers result;
        result.m_send = [this](const std::string& address, wire::Envelope&&) {
            m_watched.insert(address);
        };
        return result;
    }

    void invite(const std::vector<std::string>& registries, time_point now, const char* host = "g0")
    {
        wire::Envelope message;
        message.set_log(5);
        message.mutable_watch_invitation()->set_host(host);
        for (const auto& address : registries) {
            message.mutable_watch_invitation()->add_registries(address);
        }
        m_feed.take_invitation(message, now);
    }
};

TEST(registry_feed, watches_the_registries_of_an_invitation)
{
    silent_feed subject({"tcp://10.0.0.1:7000"});
    subject.m_feed.tick({}, {}, start);
    subject.invite({"tcp://10.0.0.9:7000"}, start, "g1");
    subject.m_feed.tick({}, {}, start + seconds(1));
    EXPECT_EQ(subject.m_watched, std::set<std::string>{"tcp://10.0.0.1:7000"});
    subject.invite({"tcp://10.0.0.2:7000"}, start);
    subject.m_feed.tick({}, {}, start + seconds(2));
    EXPECT_TRUE(subject.m_watched.contains("tcp://10.0.0.2:7000"));
}

TEST(registry_feed, addresses_that_nobody_names_any_more_give_way)
{
    silent_feed subject({"tcp://10.0.0.1:7000"});
    for (int i = 2; i < 40; ++i) {
        subject.invite({"tcp://10.0.0." + std::to_string(i) + ":7000"}, start + seconds(i));
    }
    const auto known = subject.m_feed.addresses();
    const auto knows = [&](const char* address) {
        return std::find(known.begin(), known.end(), address) != known.end();
    };
    EXPECT_EQ(known.size(), 16U);
    EXPECT_TRUE(knows("tcp://10.0.0.1:7000")) << "a seed";
    EXPECT_TRUE(knows("tcp://10.0.0.39:7000"));
    EXPECT_FALSE(knows("tcp://10.0.0.2:7000"));
}

TEST(registry_feed, takes_new_seeds_while_it_runs)
{
    silent_feed subject({"tcp://10.0.0.1:7000"});
    subject.m_feed.set_seeds({"tcp://10.0.0.2:7000"}, start);
    subject.m_feed.tick({}, {}, start);
    EXPECT_TRUE(subject.m_watched.contains("tcp://10.0.0.2:7000"));
}

}  // namespace
}  // namespace dewbeam::registrar
