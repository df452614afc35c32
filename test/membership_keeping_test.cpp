// A log that keeps its voters by itself: blank hosts that may not found one, replaced hosts, hosts
// that come back after they were dropped.
#include <gtest/gtest.h>

#include <deque>
#include <map>

#include "dewbeam/consensus"

namespace dewbeam::consensus {
namespace {

using std::chrono::milliseconds;

/// Replicas whose messages arrive at once and whose disks sync at once.
class quick_network {
public:
    quick_network()
    {
        for (std::uint64_t id = 1; id <= 3; ++id) {
            m_options.m_seeds.push_back(replica_id(id));
        }
        m_options.m_wanted_voters = 3;
    }

    void start(std::uint64_t id, std::uint64_t disk, bool may_found)
    {
        auto options = m_options;
        options.m_may_found = may_found;
        m_replicas.insert_or_assign(
            id, make_replica(options, {replica_id(id), disk_id(disk)}, {}, m_now, m_random));
    }

    void stop(std::uint64_t id) { m_stopped.insert(m_replicas.extract(id)); }
    void resume(std::uint64_t id) { m_replicas.insert(m_stopped.extract(id)); }

    void run(milliseconds span)
    {
        for (const auto end = m_now + span; m_now < end; m_now += milliseconds(10)) {
            for (auto& [id, node] : m_replicas) {
                feed(node, tick{});
            }
            deliver();
        }
    }

    void propose(const std::string& payload)
    {
        feed(m_replicas.at(leader()), proposal{{payload}});
        deliver();
    }

    [[nodiscard]] std::uint64_t leader() const
    {
        for (const auto& [id, node] : m_replicas) {
            if (node.m_role == role::leader && has_quorum(node, m_now)) {
                return id;
            }
        }
        return 0;
    }

    [[nodiscard]] std::size_t voters() const
    {
        return count_voters(newest_membership(m_replicas.at(leader()).m_log).m_members);
    }

    [[nodiscard]] bool votes(std::uint64_t id) const { return is_voter(m_replicas.at(id)); }

    /// Whether a replica knows as committed what the leader does.
    [[nodiscard]] bool has_newest(std::uint64_t id) const
    {
        return m_replicas.at(id).m_commit == m_replicas.at(leader()).m_commit;
    }

    void hear_of(std::uint64_t id, std::vector<replica_id> others)
    {
        feed(m_replicas.at(id), known_replicas{std::move(others)});
    }

    std::vector<std::string> m_committed;

private:
    void feed(replica& node, const input& event)
    {
        auto out = step(node, event, m_now, m_random);
        for (auto& item : out.m_messages) {
            m_flights.push_back(std::move(item));
        }
        for (auto& item : out.m_synced_messages) {
            m_flights.push_back(std::move(item));
        }
        for (const auto& item : out.m_committed) {
            if (item.m_kind == entry_kind::command && node.m_role == role::leader) {
                m_committed.push_back(item.m_payload);
            }
        }
        if (!out.m_writes.empty()) {
            feed(node, persisted{out.m_batch});
        }
    }

    void deliver()
    {
        for (int i = 0; i < 10'000 && !m_flights.empty(); ++i) {
            const auto item = std::move(m_flights.front());
            m_flights.pop_front();
            const auto place = m_replicas.find(item.m_to.value());
            if (place != m_replicas.end()) {
                feed(place->second, item);
            }
        }
    }

    replica_options m_options;
    random_engine m_random{5};
    time_point m_now{};
    std::map<std::uint64_t, replica> m_replicas;
    std::map<std::uint64_t, replica> m_stopped;
    std::deque<message> m_flights;
};

quick_network three_voters()
{
    quick_network net;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        net.start(id, id, true);
    }
    net.run(milliseconds(3000));
    net.propose("first");
    net.run(milliseconds(500));
    return net;
}

TEST(membership_keeping, blank_hosts_that_may_not_found_a_log_wait_for_one)
{
    quick_network net;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        net.start(id, id, false);
    }
    net.run(milliseconds(5000));
    EXPECT_EQ(net.leader(), 0U);
}

TEST(membership_keeping, a_host_that_lost_its_disk_votes_again_under_its_new_one)
{
    auto net = three_voters();
    const auto lost = net.leader() == 1 ? 2 : 1;
    net.stop(lost);
    net.start(lost, 10, false);
    net.run(milliseconds(3000));
    EXPECT_TRUE(net.votes(lost));
    EXPECT_EQ(net.voters(), 3U);
    EXPECT_EQ(net.m_committed, std::vector<std::string>{"first"});
}

TEST(membership_keeping, a_host_at_another_address_takes_the_place_of_one_that_is_gone)
{
    auto net = three_voters();
    const auto gone = net.leader() == 1 ? 2 : 1;
    net.stop(gone);
    net.start(9, 9, false);  // no seed, and its seeds hold one that is gone
    net.run(milliseconds(4000));
    EXPECT_TRUE(net.votes(9));
    EXPECT_EQ(net.voters(), 3U) << "the dead voter must be dropped";
    // Now another one may be lost.
    const auto next = net.leader() == 3 ? 9 : 3;
    net.stop(next);
    net.run(milliseconds(2000));
    net.propose("second");
    net.run(milliseconds(500));
    EXPECT_EQ(net.m_committed.back(), "second");
}

TEST(membership_keeping, a_newcomer_asks_replicas_it_heard_of_where_its_seeds_are_gone)
{
    auto net = three_voters();
    for (const auto id : {1, 2}) {
        net.stop(id);
        net.start(20 + id, 20 + id, false);
        net.hear_of(20 + id, {replica_id(3)});
        net.run(milliseconds(4000));
    }
    net.stop(3);
    net.start(23, 23, false);
    net.hear_of(23, {replica_id(21), replica_id(22)});
    net.run(milliseconds(4000));
    EXPECT_NE(net.leader(), 0U);
    EXPECT_TRUE(net.votes(23));
    EXPECT_EQ(net.voters(), 3U);
}

TEST(membership_keeping, a_spare_host_follows_the_log_without_a_vote)
{
    auto net = three_voters();
    net.start(4, 4, false);
    net.run(milliseconds(3000));
    EXPECT_EQ(net.voters(), 3U);
    EXPECT_FALSE(net.votes(4));
}

TEST(membership_keeping, a_host_that_was_dropped_while_it_was_away_is_let_in_again)
{
    auto net = three_voters();
    const auto away = net.leader() == 1 ? 2 : 1;
    net.stop(away);
    net.start(9, 9, false);
    net.run(milliseconds(4000));
    ASSERT_EQ(net.voters(), 3U);
    net.resume(away);
    net.run(milliseconds(3000));
    const auto leader = net.leader();
    ASSERT_NE(leader, 0U) << "its return must not disturb the others";
    EXPECT_EQ(net.voters(), 3U);
    net.stop(leader == 9 ? 3 : 9);
    net.run(milliseconds(4000));
    EXPECT_TRUE(net.votes(away));
}

TEST(membership_keeping, a_voter_that_was_away_while_all_others_were_replaced_follows_again)
{
    auto net = three_voters();
    net.stop(3);
    net.start(4, 4, false);
    net.run(milliseconds(4000));
    for (const auto gone : {1, 2}) {
        net.stop(gone);
        net.start(20 + gone, 20 + gone, false);
        net.hear_of(20 + gone, {replica_id(4)});
        net.run(milliseconds(4000));
    }
    net.propose("second");
    net.resume(3);
    net.hear_of(3, {replica_id(4), replica_id(21), replica_id(22)});
    net.run(milliseconds(1000));
    EXPECT_FALSE(net.votes(3));
    EXPECT_TRUE(net.has_newest(3));
    EXPECT_EQ(net.voters(), 3U);
}

}  // namespace
}  // namespace dewbeam::consensus
