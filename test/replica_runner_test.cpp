// Whole replicas with real disks and threads, joined by a small network in memory.
#include "dewbeam/src/control/replica_runner.h"

#include <gtest/gtest.h>
#include <sys/resource.h>

#include <array>
#include <atomic>
#include <condition_variable>
#include <csignal>
#include <deque>
#include <filesystem>
#include <future>
#include <mutex>
#include <set>
#include <thread>

namespace dewbeam::control {
namespace {

namespace fs = std::filesystem;
using std::chrono::milliseconds;

constexpr std::uint64_t hosts = 3;

std::string address_of(std::uint64_t host)
{
    return "host-" + std::to_string(host);
}

/// Three runners. Messages pass through one thread, which drops those over a cut.
class site {
public:
    site()
    {
        configure_log("replica_runner_test", "site", log_level::warning);  // as a program does
        auto pattern = (fs::temp_directory_path() / "dewbeam-runner-XXXXXX").string();
        m_folder = ::mkdtemp(pattern.data());
        m_carrier = std::thread([this] { carry(); });
        for (std::uint64_t host = 0; host < hosts; ++host) {
            start(host);
        }
    }

    ~site()
    {
        for (std::uint64_t host = 0; host < hosts; ++host) {
            stop(host);
        }
        {
            const std::lock_guard lock(m_mutex);
            m_must_stop = true;
        }
        m_wake.notify_all();
        m_carrier.join();
        fs::remove_all(m_folder);
    }
    site(const site&) = delete;
    site& operator=(const site&) = delete;
    site(site&&) = delete;
    site& operator=(site&&) = delete;

    void start(std::uint64_t host)
    {
        runner_options options;
        options.m_data_folder = folder(host);
        options.m_addresses = {address_of(0), address_of(1), address_of(2)};
        options.m_replica = host + 1;
        options.m_life = incarnation(++m_last_life);
        options.m_snapshot_entries = 20;
        options.m_consensus.m_kept.m_entries = 5;
        runner_hooks hooks;
        hooks.m_send = [this, host](const std::string& to, wire::ConsensusMessage&& message) {
            const std::lock_guard lock(m_mutex);
            m_flights.push_back({host, to, std::move(message)});
            m_wake.notify_all();
        };
        hooks.m_on_configuration = [this] { ++m_configurations; };
        hooks.m_on_failed = [](const std::string& reason) { ADD_FAILURE() << reason; };
        auto runner = replica_runner::start(options, hooks);
        ASSERT_TRUE(runner.ok()) << runner.status();
        const std::lock_guard lock(m_mutex);
        m_runners[host] = *std::move(runner);
    }

    void stop(std::uint64_t host)
    {
        std::shared_ptr<replica_runner> gone;
        {
            const std::lock_guard lock(m_mutex);
            gone = m_runners[host];
        }
        if (gone) {
            gone->stop();
            const std::lock_guard lock(m_mutex);
            m_runners[host].reset();
        }
    }

    void cut(std::uint64_t host, bool is_cut)
    {
        const std::lock_guard lock(m_mutex);
        m_cut[host] = is_cut;
    }

    std::shared_ptr<replica_runner> at(std::uint64_t host)
    {
        const std::lock_guard lock(m_mutex);
        return m_runners[host];
    }
    [[nodiscard]] std::string folder(std::uint64_t host) const
    {
        return m_folder + "/" + address_of(host);
    }

    change_answer change(std::uint64_t host, const std::string& id, std::uint64_t base)
    {
        std::promise<change_answer> answer;
        configuration::change wanted{id, base, {}};
        wanted.m_patch["workspaces"]["arusha"]["weight"] = 1 + base;
        at(host)->propose_change(wanted, [&](change_answer got) { answer.set_value(got); });
        return answer.get_future().get();
    }

    claim_answer claim(std::uint64_t host, const std::string& key, std::uint64_t attempt)
    {
        std::promise<claim_answer> answer;
        at(host)->propose_claim(
            {claims::claim_key(key), {incarnation(9), attempt}, host_id("agent"), fingerprint(1)},
            [&](claim_answer got) { answer.set_value(std::move(got)); });
        return answer.get_future().get();
    }

    bool report(std::uint64_t host, const std::string& key, std::uint64_t attempt)
    {
        std::promise<bool> answer;
        at(host)->report_claim({claims::claim_key(key),
                                {incarnation(9), attempt},
                                ledger::outcome::completed,
                                claims::kept_answer{200, {}, "paid"}},
                               [&](bool got) { answer.set_value(got); });
        return answer.get_future().get();
    }

    bool read(std::uint64_t host)
    {
        std::promise<bool> answer;
        at(host)->read_index([&](bool got) { answer.set_value(got); });
        return answer.get_future().get();
    }

    /// Waits until the condition holds; the test's own limit ends a wait that never does.
    template <class Condition>
    void wait_for(Condition condition)
    {
        while (!condition()) {
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    void wait_for_leader()
    {
        wait_for([this] {
            return std::holds_alternative<configuration::change_result>(
                change(0, "probe", 1'000'000));
        });
    }

    std::atomic<int> m_configurations = 0;

private:
    struct flight {
        std::uint64_t m_from = 0;
        std::string m_to;
        wire::ConsensusMessage m_message;
    };

    void carry()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            m_wake.wait(lock, [this] { return m_must_stop || !m_flights.empty(); });
            if (m_must_stop) {
                return;
            }
            const auto next = std::move(m_flights.front());
            m_flights.pop_front();
            const auto to = next.m_message.to() - 1;
            const auto target = m_cut[to] || m_cut[next.m_from] ? nullptr : m_runners[to];
            lock.unlock();
            if (target) {
                target->receive(next.m_message);
            }
            lock.lock();
        }
    }

    std::string m_folder;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::array<std::shared_ptr<replica_runner>, hosts> m_runners;
    std::array<bool, hosts> m_cut{};
    std::deque<flight> m_flights;
    std::uint64_t m_last_life = 0;
    bool m_must_stop = false;
    std::thread m_carrier;
};

std::uint64_t number_of(const change_answer& answer)
{
    const auto* result = std::get_if<configuration::change_result>(&answer);
    const bool is_accepted =
        result != nullptr && result->m_status == configuration::change_status::accepted;
    return is_accepted ? result->m_number : 0;
}

claims::decision decision_of(const claim_answer& answer)
{
    const auto* got = std::get_if<claims::verdict>(&answer);
    return got != nullptr ? got->m_decision : claims::decision::full;
}

/// A follower whose leader is played by the test: appends arrive, reads stay unanswered.
class led_follower {
public:
    led_follower(const std::string& folder, std::uint64_t life)
    {
        runner_options options;
        options.m_data_folder = folder;
        options.m_addresses = {address_of(0), address_of(1), address_of(2)};
        options.m_replica = 3;
        options.m_life = incarnation(life);
        runner_hooks hooks;
        hooks.m_send = [this](const std::string&, wire::ConsensusMessage&& message) {
            if (message.kind() == static_cast<std::uint32_t>(consensus::message_kind::read)) {
                const std::lock_guard lock(m_mutex);
                m_reads.push_back(message.round());
            }
        };
        hooks.m_on_configuration = [] {};
        hooks.m_on_failed = [](const std::string& reason) { ADD_FAILURE() << reason; };
        m_runner = *replica_runner::start(options, hooks);
    }

    static wire::ConsensusMessage from_leader(consensus::message_kind kind)
    {
        wire::ConsensusMessage made;
        made.set_kind(static_cast<std::uint32_t>(kind));
        made.set_from(1);
        made.set_to(3);
        made.set_from_incarnation(77);
        made.set_term(5);
        made.set_log(9);
        return made;
    }

    /// Lets the leader be heard until this life has asked it `count` reads; their tokens.
    std::vector<std::uint64_t> asked(std::size_t count)
    {
        for (;;) {
            auto append = from_leader(consensus::message_kind::append);
            auto& entry = *append.add_entries();
            entry.set_term(5);
            entry.set_index(1);
            append.set_commit_index(1);
            m_runner->receive(append);
            std::this_thread::sleep_for(milliseconds(20));
            const std::lock_guard lock(m_mutex);
            if (m_reads.size() >= count) {
                return m_reads;
            }
        }
    }

    std::unique_ptr<replica_runner> m_runner;

private:
    std::mutex m_mutex;
    std::vector<std::uint64_t> m_reads;
};

TEST(replica_runner, an_answer_to_a_read_of_an_earlier_life_confirms_nothing)
{
    auto pattern = (fs::temp_directory_path() / "dewbeam-runner-XXXXXX").string();
    const std::string folder = ::mkdtemp(pattern.data());
    std::vector<std::uint64_t> earlier;
    {
        led_follower first(folder, 1001);
        earlier = first.asked(4);
    }
    led_follower second(folder, 1002);
    second.asked(1);
    EXPECT_EQ(second.m_runner->status().m_confirmed_at, time_point{});
    for (const auto token : earlier) {
        auto held_up = led_follower::from_leader(consensus::message_kind::read_reply);
        held_up.set_round(token);
        held_up.set_granted(true);
        held_up.set_commit_index(1);
        second.m_runner->receive(held_up);
    }
    EXPECT_EQ(second.m_runner->status().m_confirmed_at, time_point{});
    second.m_runner->stop();
    fs::remove_all(folder);
}

TEST(replica_runner, changes_survive_restarts_and_a_lost_disk)
{
    site all;
    all.wait_for_leader();
    std::uint64_t number = 0;
    const auto change_at = [&](std::uint64_t host) {
        const auto answer = all.change(host, "change-" + std::to_string(number), number);
        EXPECT_EQ(number_of(answer), number + 1);
        ++number;
    };
    for (std::uint64_t round = 0; round < 2 * hosts; ++round) {
        const auto victim = round % hosts;
        for (int i = 0; i < 15; ++i) {
            change_at(static_cast<std::uint64_t>(i) % hosts);
        }
        all.stop(victim);
        change_at((victim + 1) % hosts);
        if (round >= hosts) {
            fs::remove_all(all.folder(victim));
        }
        all.start(victim);
        all.wait_for([&] { return all.at(victim)->status().m_is_voter; });
        EXPECT_EQ(number_of(all.change(victim, "change-0", 0)), 1U) << "a resend";
    }
    for (std::uint64_t host = 0; host < hosts; ++host) {
        all.wait_for([&] { return all.read(host); });
        EXPECT_EQ(all.at(host)->configuration().m_number, number);
        EXPECT_TRUE(all.at(host)->status().m_is_caught_up);
    }
    EXPECT_GE(all.m_configurations, static_cast<int>(number));
}

TEST(replica_runner, a_key_is_granted_once_through_two_hosts_and_kept)
{
    site all;
    all.wait_for_leader();
    EXPECT_EQ(decision_of(all.claim(0, "k", 1)), claims::decision::granted);
    EXPECT_EQ(decision_of(all.claim(1, "k", 2)), claims::decision::running);
    EXPECT_TRUE(all.report(2, "k", 1));
    const auto again = all.claim(1, "k", 3);
    EXPECT_EQ(decision_of(again), claims::decision::finished);
    EXPECT_EQ(std::get<claims::verdict>(again).m_answer->m_body, "paid");
}

TEST(replica_runner, without_a_majority_a_claim_is_refused_and_withdrawn)
{
    site all;
    all.wait_for_leader();
    all.cut(0, true);
    EXPECT_TRUE(std::holds_alternative<no_quorum>(all.claim(0, "k", 1)));
    EXPECT_FALSE(all.read(0));
    EXPECT_FALSE(all.at(0)->status().m_has_quorum);
    all.wait_for([&] { return std::holds_alternative<claims::verdict>(all.claim(1, "other", 1)); });
    all.cut(0, false);
    all.wait_for([&] { return all.at(1)->status().m_claims == 2; });  // the withdrawal came
    EXPECT_EQ(decision_of(all.claim(2, "k", 1)), claims::decision::withdrawn);
    EXPECT_EQ(decision_of(all.claim(1, "k", 2)), claims::decision::granted);
}

TEST(replica_runner, a_burst_of_500_changes_is_in_force_everywhere_and_in_order)
{
    site all;
    all.wait_for_leader();
    std::atomic<int> accepted = 0;
    for (std::uint64_t base = 0; base < 500; ++base) {
        configuration::change wanted{"burst-" + std::to_string(base), base, {}};
        wanted.m_patch["workspaces"]["arusha"]["weight"] = 1 + base;
        std::promise<void> answered;
        all.at(base % hosts)->propose_change(wanted, [&](const change_answer& got) {
            accepted += number_of(got) == base + 1 ? 1 : 0;
            answered.set_value();
        });
        answered.get_future().wait();
    }
    EXPECT_EQ(accepted, 500);
    for (std::uint64_t host = 0; host < hosts; ++host) {
        all.wait_for([&] { return all.at(host)->configuration().m_number == 500; });
    }
}

TEST(replica_runner, operators_racing_under_one_number_get_one_winner)
{
    site all;
    all.wait_for_leader();
    std::array<std::promise<change_answer>, hosts> answers;
    for (std::uint64_t host = 0; host < hosts; ++host) {
        configuration::change wanted{"racer-" + std::to_string(host), 0, {}};
        wanted.m_patch["workspaces"]["arusha"]["weight"] = 1 + host;
        all.at(host)->propose_change(
            wanted, [&answers, host](change_answer got) { answers[host].set_value(got); });
    }
    std::string winner;
    std::vector<std::string> named;
    for (std::uint64_t host = 0; host < hosts; ++host) {
        const auto got = std::get<configuration::change_result>(answers[host].get_future().get());
        if (got.m_status == configuration::change_status::accepted) {
            EXPECT_EQ(winner, "");
            winner = "racer-" + std::to_string(host);
        }
        else {
            named.push_back(got.m_winner);
        }
    }
    EXPECT_EQ(named, std::vector<std::string>(hosts - 1, winner));
}

TEST(replica_runner, full_disks_acknowledge_nothing_and_go_on_reading)
{
    site all;
    all.wait_for_leader();
    EXPECT_EQ(number_of(all.change(0, "before", 0)), 1U);
    std::signal(SIGXFSZ, SIG_IGN);
    rlimit before{};
    ::getrlimit(RLIMIT_FSIZE, &before);
    const rlimit none{0, before.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &none);
    EXPECT_TRUE(std::holds_alternative<no_quorum>(all.change(1, "during", 1)));
    for (std::uint64_t host = 0; host < hosts; ++host) {
        EXPECT_EQ(all.at(host)->configuration().m_number, 1U);
    }
    ::setrlimit(RLIMIT_FSIZE, &before);
    all.wait_for([&] { return number_of(all.change(1, "during", 1)) == 2; });
    all.wait_for([&] { return number_of(all.change(2, "after", 2)) == 3; });
}

TEST(replica_runner, a_second_process_on_the_folder_is_refused)
{
    site all;
    runner_options options;
    options.m_data_folder = all.folder(0);
    options.m_addresses = {address_of(0)};
    EXPECT_FALSE(replica_runner::start(options, {}).ok());
}

/// A new disk takes its identity from the life that made it.
TEST(replica_runner, replicas_on_new_disks_draw_different_election_timeouts)
{
    std::set<std::uint64_t> seeds;
    const std::vector<std::uint64_t> lives = {1782089081077860, 1782089081077861};
    for (const auto life : lives) {
        for (std::uint64_t replica = 1; replica <= 3; ++replica) {
            seeds.insert(election_seed(replica, incarnation(life), consensus::disk_id(life)));
        }
    }
    EXPECT_EQ(seeds.size(), 6U);
}

}  // namespace
}  // namespace dewbeam::control
