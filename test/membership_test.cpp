// Membership: views that converge, suspicion and death, leaving, cuts, and who can be heard.
#include "dewbeam/membership"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <set>

namespace dewbeam::membership {
namespace {

using namespace std::chrono_literals;

member make_member(const std::string& host, const std::string& domain, role kind)
{
    member item;
    item.m_host = host_id(host);
    item.m_failure_domain = failure_domain_id(domain);
    item.m_role = kind;
    item.m_address = "tcp://" + host;
    item.m_incarnation = incarnation(1);
    return item;
}

/// A process and whether it runs.
struct process {
    view m_view;
    bool m_is_running = true;
    std::uint64_t m_lives = 1;
};

/// A message under way.
struct flight {
    time_point m_arrives{};
    std::size_t m_to = 0;
    std::size_t m_from = 0;
    gossip m_message;
};

/// A few processes and the faults between them.
class site {
public:
    explicit site(std::uint64_t seed) : m_random(seed) {}

    std::size_t add(const std::string& host, const std::string& domain, role kind)
    {
        view_options options;
        for (const std::string seed : {"a", "b", "c"}) {
            options.m_seeds.push_back("tcp://" + seed + "-entry-1");
            options.m_seeds.push_back("tcp://" + seed + "-entry-2");
        }
        m_processes.push_back({make_view(options, make_member(host, domain, kind), m_now)});
        return m_processes.size() - 1;
    }

    /// Two entries and an agent in each of three domains, one control in each.
    void add_usual()
    {
        for (const std::string domain : {"a", "b", "c"}) {
            add(domain + "-entry-1", domain, role::entry);
            add(domain + "-entry-2", domain, role::entry);
            add(domain + "-agent", domain, role::agent);
            add(domain + "-control", domain, role::control);
        }
    }

    void run(time_span span)
    {
        const auto end = m_now + span;
        for (; m_now < end; m_now += 100ms) {
            deliver();
            for (std::size_t i = 0; i < m_processes.size(); ++i) {
                if (m_processes[i].m_is_running) {
                    if (m_processes[i].m_view.m_self.m_role == role::control && !m_is_quorum_lost) {
                        note_quorum(m_processes[i].m_view, m_now);
                    }
                    send(i, tick(m_processes[i].m_view, m_now, m_random));
                }
            }
        }
    }

    void restart(std::size_t index)
    {
        auto& item = m_processes[index];
        auto self =
            make_member(item.m_view.m_self.m_host.value(),
                        item.m_view.m_self.m_failure_domain.value(), item.m_view.m_self.m_role);
        self.m_incarnation = incarnation(++item.m_lives * 1000);
        item.m_view = make_view(item.m_view.m_options, self, m_now);
        item.m_is_running = true;
    }

    /// Whether every running process that should know `index` holds it `alive` or not.
    bool all_agree(std::size_t index, bool alive)
    {
        const auto& subject = m_processes[index].m_view.m_self;
        for (const auto& item : m_processes) {
            const bool knows = spreads(item.m_view.m_self.m_role) ||
                               (spreads(subject.m_role) &&
                                item.m_view.m_self.m_failure_domain == subject.m_failure_domain);
            if (!item.m_is_running || !knows || &item == &m_processes[index]) {
                continue;
            }
            const auto* known = find(item.m_view, subject.m_host);
            const bool is_alive = known != nullptr && !known->m_member.m_dead &&
                                  !known->m_member.m_suspect &&
                                  known->m_member.m_incarnation == subject.m_incarnation;
            if (is_alive != alive) {
                return false;
            }
        }
        return true;
    }

    std::vector<process> m_processes;
    std::set<std::string> m_cut_domains;
    std::uint64_t m_loss_percent = 0;
    std::uint64_t m_longest_delay_ms = 5;
    bool m_is_quorum_lost = false;
    time_point m_now{};

private:
    bool is_cut(std::size_t a, std::size_t b)
    {
        const auto& first = m_processes[a].m_view.m_self.m_failure_domain.value();
        const auto& second = m_processes[b].m_view.m_self.m_failure_domain.value();
        return first != second && (m_cut_domains.contains(first) || m_cut_domains.contains(second));
    }

    void send(std::size_t from, const effects& out)
    {
        for (const auto& item : out.m_sends) {
            for (std::size_t to = 0; to < m_processes.size(); ++to) {
                const bool is_target = m_processes[to].m_view.m_self.m_address == item.m_address;
                if (is_target && uniform_below(m_random, 100) >= m_loss_percent) {
                    const auto delay = uniform_below(m_random, m_longest_delay_ms + 1);
                    m_flights.push_back(
                        {m_now + std::chrono::milliseconds(delay), to, from, item.m_message});
                }
            }
        }
    }

    void deliver()
    {
        std::deque<flight> later;
        std::deque<flight> due;
        due.swap(m_flights);
        for (auto& item : due) {
            if (item.m_arrives > m_now) {
                later.push_back(std::move(item));
            }
            else if (m_processes[item.m_to].m_is_running && !is_cut(item.m_from, item.m_to)) {
                send(item.m_to, receive(m_processes[item.m_to].m_view, item.m_message, m_now));
            }
        }
        m_flights.insert(m_flights.end(), later.begin(), later.end());
    }

    random_engine m_random;
    std::deque<flight> m_flights;
};

TEST(membership, later_incarnation_then_death_then_sequence_then_suspicion_wins)
{
    auto old = make_member("h", "a", role::entry);
    old.m_sequence = 9;
    auto restarted = old;
    restarted.m_incarnation = incarnation(2);
    restarted.m_sequence = 1;
    EXPECT_TRUE(supersedes(restarted, old));
    auto dead = old;
    dead.m_sequence = 3;
    dead.m_dead = true;
    EXPECT_TRUE(supersedes(dead, old));
    EXPECT_FALSE(supersedes(old, dead));
    EXPECT_TRUE(supersedes(restarted, dead));
    auto suspect = old;
    suspect.m_suspect = true;
    EXPECT_TRUE(supersedes(suspect, old));
    old.m_sequence = 10;
    EXPECT_TRUE(supersedes(old, suspect));
}

TEST(membership, all_know_all_after_start)
{
    site subject(1);
    subject.add_usual();
    subject.run(10s);
    for (std::size_t i = 0; i < subject.m_processes.size(); ++i) {
        EXPECT_TRUE(subject.all_agree(i, true)) << i;
    }
}

TEST(membership, nothing_is_spread_while_nothing_changes)
{
    site subject(1);
    subject.add_usual();
    subject.run(20s);
    random_engine random(1);
    for (auto& item : subject.m_processes) {
        const auto out = tick(item.m_view, subject.m_now + 1s, random);
        for (const auto& sent : out.m_sends) {
            EXPECT_TRUE(sent.m_message.m_deltas.empty());
        }
    }
}

TEST(membership, a_silent_member_is_held_dead_in_seconds_and_returns_after_a_restart)
{
    site subject(2);
    subject.add_usual();
    subject.run(10s);
    for (const std::size_t index : {0, 2, 3}) {
        subject.m_processes[index].m_is_running = false;
    }
    subject.run(15s);
    for (const std::size_t index : {0, 2, 3}) {
        EXPECT_TRUE(subject.all_agree(index, false)) << index;
        subject.restart(index);
    }
    subject.run(10s);
    for (const std::size_t index : {0, 2, 3}) {
        EXPECT_TRUE(subject.all_agree(index, true)) << index;
    }
}

TEST(membership, leaving_is_known_everywhere_within_three_seconds)
{
    site subject(3);
    subject.add_usual();
    subject.m_loss_percent = 10;
    subject.run(10s);
    constexpr std::size_t agent = 2;
    leave(subject.m_processes[agent].m_view, subject.m_now);
    subject.run(3s);
    for (const auto& item : subject.m_processes) {
        if (spreads(item.m_view.m_self.m_role)) {
            const auto* known = find(item.m_view, host_id("a-agent"));
            ASSERT_NE(known, nullptr);
            EXPECT_TRUE(known->m_member.m_leaving);
        }
    }
}

TEST(membership, changes_spread_without_digests)
{
    site subject(3);
    subject.add_usual();
    subject.run(10s);
    for (auto& item : subject.m_processes) {
        item.m_view.m_digest_at = time_point{} + 1h;
    }
    leave(subject.m_processes[2].m_view, subject.m_now);
    subject.run(3s);
    for (const auto& item : subject.m_processes) {
        const auto* known = find(item.m_view, host_id("a-agent"));
        EXPECT_TRUE(known == nullptr || known->m_member.m_leaving);
    }
}

TEST(membership, a_member_whose_known_watchers_are_gone_asks_the_seeds)
{
    site subject(6);
    subject.add_usual();
    subject.run(10s);
    constexpr std::size_t agent = 2;
    auto& view = subject.m_processes[agent].m_view;
    subject.m_processes[0].m_is_running = false;
    view.m_records.erase(host_id("a-entry-2"));
    view.m_are_watchers_stale = true;
    subject.run(20s);
    EXPECT_NE(find(view, host_id("a-entry-2")), nullptr);
    EXPECT_TRUE(subject.all_agree(agent, true));
}

TEST(membership, an_entry_doubts_nobody_for_the_time_in_which_it_read_nothing)
{
    site subject(9);
    subject.add_usual();
    subject.run(10s);
    auto& entry = subject.m_processes[0];
    entry.m_is_running = false;
    subject.run(4s);
    entry.m_is_running = true;
    put_off_leases(entry.m_view, 4s, subject.m_now);
    random_engine random(1);
    EXPECT_TRUE(tick(entry.m_view, subject.m_now, random).m_changes.empty());
    subject.run(10s);
    EXPECT_TRUE(subject.all_agree(2, true));
}

TEST(membership, a_member_that_returned_is_watched_again)
{
    site subject(7);
    subject.add_usual();
    subject.run(10s);
    constexpr std::size_t control = 3;
    for (const bool is_running : {false, true, false}) {
        subject.m_processes[control].m_is_running = is_running;
        if (is_running) {
            subject.restart(control);
        }
        subject.run(15s);
        EXPECT_TRUE(subject.all_agree(control, is_running));
        // Watches are drawn anew while the control is dead.
        for (const std::size_t entry : {0, 1}) {
            subject.m_processes[entry].m_view.m_are_watchers_stale = !is_running;
        }
        subject.run(2s);
    }
}

TEST(membership, a_suspicion_that_its_subject_never_heard_of_does_not_stay)
{
    site subject(8);
    subject.add_usual();
    subject.run(10s);
    constexpr std::size_t control = 3;
    auto claim = subject.m_processes[control].m_view.m_self;
    claim.m_suspect = true;
    for (const std::size_t far : {4, 5, 7}) {
        auto& view = subject.m_processes[far].m_view;
        ASSERT_TRUE(internal::merge(view, claim, subject.m_now));
        view.m_fresh.clear();
        view.m_records.at(claim.m_host).m_rounds_left = 0;
    }
    subject.run(15s);
    EXPECT_TRUE(subject.all_agree(control, true));
}

TEST(membership, a_member_that_was_held_dead_takes_a_new_incarnation)
{
    const auto self = make_member("h", "a", role::agent);
    auto state = make_view({}, self, time_point{});
    gossip message;
    message.m_failure_domain = self.m_failure_domain;
    message.m_reply_to = "tcp://e";
    message.m_deltas = {self};
    message.m_deltas[0].m_sequence = 1;
    message.m_deltas[0].m_suspect = true;
    auto out = receive(state, message, time_point{});
    EXPECT_FALSE(out.m_has_new_incarnation);
    EXPECT_EQ(state.m_self.m_sequence, 2U);
    ASSERT_EQ(out.m_sends.size(), 1U);
    EXPECT_EQ(out.m_sends[0].m_message.m_deltas.at(0).m_sequence, 2U);
    message.m_deltas[0].m_suspect = false;
    message.m_deltas[0].m_dead = true;
    out = receive(state, message, time_point{});
    EXPECT_TRUE(out.m_has_new_incarnation);
    EXPECT_EQ(state.m_self.m_incarnation, incarnation(2));
    message.m_deltas[0].m_incarnation = incarnation(7);
    EXPECT_TRUE(receive(state, message, time_point{}).m_is_superseded);
}

TEST(membership, a_cut_domain_says_so_and_heals)
{
    site subject(4);
    subject.add_usual();
    subject.run(10s);
    subject.m_cut_domains = {"c"};
    subject.run(30s);
    const auto& inside = subject.m_processes[8].m_view;
    const auto& outside = subject.m_processes[0].m_view;
    EXPECT_TRUE(reach(inside, subject.m_now).m_is_cut_off);
    EXPECT_FALSE(reach(outside, subject.m_now).m_is_cut_off);
    EXPECT_TRUE(reach(inside, subject.m_now).m_hears_own_domain);
    const auto* far = find(outside, host_id("c-agent"));
    ASSERT_NE(far, nullptr);
    EXPECT_FALSE(far->m_member.m_dead);
    EXPECT_FALSE(is_reachable(outside, far->m_member, subject.m_now));
    subject.m_processes[10].m_is_running = false;
    subject.restart(2);
    subject.run(10s);
    subject.m_cut_domains.clear();
    subject.run(15s);
    EXPECT_FALSE(reach(inside, subject.m_now).m_is_cut_off);
    EXPECT_TRUE(is_reachable(outside, far->m_member, subject.m_now));
    EXPECT_TRUE(subject.all_agree(10, false));
    EXPECT_TRUE(subject.all_agree(2, true));
}

TEST(membership, a_lost_majority_of_control_is_a_cut)
{
    site subject(5);
    subject.add_usual();
    subject.run(10s);
    EXPECT_TRUE(reach(subject.m_processes[0].m_view, subject.m_now).m_hears_quorum);
    subject.m_is_quorum_lost = true;
    subject.run(10s);
    EXPECT_FALSE(reach(subject.m_processes[0].m_view, subject.m_now).m_hears_quorum);
    EXPECT_TRUE(reach(subject.m_processes[0].m_view, subject.m_now).m_is_cut_off);
}

RC_GTEST_PROP(membership, views_converge_after_the_faults_end, ())
{
    site subject(*rc::gen::arbitrary<std::uint64_t>());
    subject.add_usual();
    subject.run(5s);
    for (int round = 0; round < 4; ++round) {
        subject.m_loss_percent = *rc::gen::inRange<std::uint64_t>(0, 60);
        subject.m_longest_delay_ms = *rc::gen::inRange<std::uint64_t>(0, 4000);
        subject.m_cut_domains.clear();
        if (*rc::gen::arbitrary<bool>()) {
            subject.m_cut_domains.insert(*rc::gen::element<std::string>("a", "b", "c"));
        }
        const auto victim = *rc::gen::inRange<std::size_t>(0, subject.m_processes.size());
        if (*rc::gen::arbitrary<bool>()) {
            subject.restart(victim);
        }
        else {
            subject.m_processes[victim].m_is_running = false;
        }
        subject.run(std::chrono::seconds(*rc::gen::inRange(1, 12)));
    }
    subject.m_loss_percent = 0;
    subject.m_longest_delay_ms = 5;
    subject.m_cut_domains.clear();
    subject.run(40s);
    for (std::size_t i = 0; i < subject.m_processes.size(); ++i) {
        const auto& item = subject.m_processes[i];
        const auto& domain = item.m_view.m_self.m_failure_domain;
        const bool has_watcher = std::any_of(
            subject.m_processes.begin(), subject.m_processes.end(), [&](const process& other) {
                return other.m_is_running && &other != &item &&
                       other.m_view.m_self.m_role == role::entry &&
                       other.m_view.m_self.m_failure_domain == domain;
            });
        if (item.m_is_running) {
            RC_ASSERT(subject.all_agree(i, true));
        }
        else if (has_watcher) {
            RC_ASSERT(subject.all_agree(i, false));
        }
    }
}

RC_GTEST_PROP(membership, a_dead_incarnation_never_returns, ())
{
    auto state = make_view({}, make_member("self", "a", role::entry), time_point{});
    std::uint64_t newest_dead = 0;
    const auto count = *rc::gen::inRange(1, 60);
    for (int i = 0; i < count; ++i) {
        auto claim = make_member("other", "a", role::agent);
        claim.m_incarnation = incarnation(*rc::gen::inRange<std::uint64_t>(1, 5));
        claim.m_sequence = *rc::gen::inRange<std::uint64_t>(1, 5);
        claim.m_suspect = *rc::gen::arbitrary<bool>();
        claim.m_dead = *rc::gen::arbitrary<bool>();
        claim.m_lease_deadline = time_point{} + 1h;
        gossip message;
        message.m_failure_domain = claim.m_failure_domain;
        message.m_deltas = {claim};
        receive(state, message, time_point{} + std::chrono::seconds(i));
        if (claim.m_dead) {
            newest_dead = std::max(newest_dead, claim.m_incarnation.value());
        }
        const auto* known = find(state, claim.m_host);
        RC_ASSERT(known != nullptr);
        RC_ASSERT(known->m_member.m_dead || known->m_member.m_incarnation.value() > newest_dead);
    }
}

TEST(reports, go_to_those_who_asked_until_their_deadline)
{
    report_readers readers;
    readers.m_most = 2;
    EXPECT_TRUE(subscribe(readers, "b", time_point{} + 5s, time_point{}));
    EXPECT_TRUE(subscribe(readers, "a", time_point{} + 10s, time_point{}));
    EXPECT_FALSE(subscribe(readers, "c", time_point{} + 10s, time_point{}));
    EXPECT_TRUE(subscribe(readers, "b", time_point{} + 8s, time_point{}));
    EXPECT_EQ(readers_at(readers, time_point{} + 6s), (std::vector<std::string>{"a", "b"}));
    EXPECT_EQ(readers_at(readers, time_point{} + 9s), (std::vector<std::string>{"a"}));
}

TEST(reports, each_entry_uses_as_many_upstreams_of_each_model_as_it_was_told)
{
    auto state = make_view({}, make_member("entry", "a", role::entry), time_point{});
    for (int i = 0; i < 30; ++i) {
        auto agent = make_member("agent-" + std::to_string(i), i < 20 ? "a" : "b", role::agent);
        agent.m_models = {model_id(i % 2 == 0 ? "chat" : "draft")};
        ASSERT_TRUE(internal::merge(state, agent, time_point{}));
    }
    const auto chosen = choose_upstreams(state, 4);
    EXPECT_EQ(chosen.size(), 8U);
    EXPECT_EQ(choose_upstreams(state, 4), chosen);
    EXPECT_EQ(choose_upstreams(state, 100).size(), 20U);
}

}  // namespace
}  // namespace dewbeam::membership
