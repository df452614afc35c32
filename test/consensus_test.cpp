// Safety and progress of the replicated log under random faults.
#include "dewbeam/consensus"

#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cstdio>
#include <map>

namespace dewbeam::consensus {
namespace {

using std::chrono::milliseconds;

constexpr time_span one_tick = milliseconds(5);

/// How often each fault was tried, over all runs of this program.
struct fault_counts {
    std::uint64_t m_runs = 0, m_sent = 0, m_lost = 0, m_delayed = 0, m_duplicated = 0,
                  m_crashes = 0, m_unsynced_lost = 0, m_lost_disks = 0, m_partitions = 0,
                  m_snapshots = 0, m_installed = 0, m_elections = 0, m_committed = 0,
                  m_transfers = 0, m_reads = 0;
};
fault_counts total;

class print_counts : public testing::Environment {
public:
    void TearDown() override
    {
        std::printf(
            "faults tried: runs=%lu messages=%lu lost=%lu delayed=%lu duplicated=%lu crashes=%lu "
            "unsynced_writes_lost=%lu lost_disks=%lu partitions=%lu snapshots=%lu installed=%lu "
            "elections=%lu transfers=%lu reads=%lu commits=%lu\n",
            total.m_runs, total.m_sent, total.m_lost, total.m_delayed, total.m_duplicated,
            total.m_crashes, total.m_unsynced_lost, total.m_lost_disks, total.m_partitions,
            total.m_snapshots, total.m_installed, total.m_elections, total.m_transfers,
            total.m_reads, total.m_committed);
    }
};
const auto* const counts_printer = testing::AddGlobalTestEnvironment(new print_counts);

/// A disk whose writes last only once they are synced.
struct fake_disk {
    disk_id m_id;
    recovered_state m_synced;
    std::vector<std::pair<std::uint64_t, writes>> m_pending;

    void sync(std::size_t batches)
    {
        for (std::size_t i = 0; i < batches; ++i) {
            apply(m_synced, m_pending[i].second);
        }
        m_pending.erase(m_pending.begin(),
                        m_pending.begin() + static_cast<std::ptrdiff_t>(batches));
    }
};

struct host {
    fake_disk m_disk;
    std::optional<replica> m_replica;                       ///< none while it is down
    std::vector<std::pair<std::uint64_t, message>> m_held;  ///< messages that wait for a sync
    std::vector<std::string> m_state;                       ///< the state machine
    time_point m_down_until{};
};

struct flight {
    time_point m_at;
    message m_message;
};

struct network_options {
    std::size_t m_size = 3;
    std::uint64_t m_loss = 10;        ///< percent
    std::uint64_t m_crash = 4;        ///< per 1,000 ticks and host
    std::uint64_t m_disk_loss = 2;    ///< per 1,000 ticks and host
    std::uint64_t m_partition = 3;    ///< per 1,000 ticks
    std::uint64_t m_most_delay = 8;   ///< ticks, usually
    std::uint64_t m_compaction = 10;  ///< per 1,000 ticks and host
    std::uint64_t m_sync_pause = 4;   ///< ticks between two syncs of a host, on average
    bool m_sync_before_send = true;   ///< off: messages leave, and acks count, before the sync
    replica_options m_replica;
};

/// A small network of replicas with faults; records the first broken promise.
class network {
public:
    network(std::uint64_t seed, network_options options)
        : m_random(seed), m_options(std::move(options)), m_hosts(m_options.m_size)
    {
        ++total.m_runs;
        for (std::uint64_t i = 0; i < m_hosts.size(); ++i) {
            m_options.m_replica.m_seeds.push_back(replica_id(i));
        }
        m_options.m_replica.m_kept.m_entries = 8;
        m_options.m_replica.m_most_append_entries = 16;
        for (std::uint64_t i = 0; i < m_hosts.size(); ++i) {
            m_hosts[i].m_disk.m_id = disk_id(++m_last_disk);
            start(i);
        }
    }

    void run(std::size_t ticks, bool faulty)
    {
        for (std::size_t i = 0; i < ticks && m_broken.empty(); ++i) {
            m_now += one_tick;
            if (faulty) {
                inject_faults();
            }
            deliver(faulty);
            for (std::uint64_t id = 0; id < m_hosts.size(); ++id) {
                run_host(id, faulty);
            }
        }
    }

    /// Proposes at a random live host.
    void propose()
    {
        const auto id = draw(m_hosts.size());
        if (m_hosts[id].m_replica) {
            feed(id, proposal{{"c" + std::to_string(++m_last_command)}});
        }
    }

    /// Reads at a random live host; the answer must hold all that is committed by now.
    void read()
    {
        const auto id = draw(m_hosts.size());
        if (m_hosts[id].m_replica && !m_agreed.empty()) {
            m_read_floors.push_back(m_agreed.rbegin()->first);
            feed(id, read_request{m_read_floors.size() - 1});
        }
    }

    [[nodiscard]] std::optional<std::uint64_t> leader() const
    {
        std::optional<std::uint64_t> found;
        for (std::uint64_t id = 0; id < m_hosts.size(); ++id) {
            const auto& node = m_hosts[id].m_replica;
            if (node && node->m_role == role::leader &&
                (!found || node->m_hard.m_term > m_hosts[*found].m_replica->m_hard.m_term)) {
                found = id;
            }
        }
        return found;
    }

    void crash(std::uint64_t id, time_span pause)
    {
        auto& at = m_hosts[id];
        if (!at.m_replica) {
            return;
        }
        ++total.m_crashes;
        const auto kept = draw(at.m_disk.m_pending.size() + 1);  // some may have reached the disk
        total.m_unsynced_lost += at.m_disk.m_pending.size() - kept;
        at.m_disk.sync(kept);
        at.m_disk.m_pending.clear();
        at.m_held.clear();
        at.m_replica.reset();
        at.m_down_until = m_now + pause;
    }

    void lose_disk(std::uint64_t id, time_span pause)
    {
        crash(id, pause);
        ++total.m_lost_disks;
        m_hosts[id].m_disk = fake_disk{disk_id(++m_last_disk), {}, {}};
    }

    /// Whether every membership that anyone holds keeps a majority of living disks without `id`.
    [[nodiscard]] bool may_lose_disk(std::uint64_t id) const
    {
        for (const auto& at : m_hosts) {
            const auto made = probe_disk(at);
            const auto in_force = membership_in_force(made.m_log, made.m_commit);
            for (const auto& known : made.m_log.m_memberships) {
                if (known.m_index <= made.m_commit && known.m_members != in_force) {
                    continue;
                }
                std::size_t alive = 0;
                for (const auto& item : known.m_members) {
                    const auto& other = m_hosts[item.m_identity.m_id.value()];
                    const bool lives = item.m_identity.m_disk == other.m_disk.m_id;
                    alive += item.m_votes && lives && item.m_identity.m_id.value() != id ? 1 : 0;
                }
                if (alive <= count_voters(known.m_members) / 2) {
                    return false;
                }
            }
        }
        return !m_agreed.empty();
    }

    void cut(const std::vector<int>& sides) { m_side = sides; }
    void heal() { m_side.assign(m_hosts.size(), 0); }

    void feed(std::uint64_t id, const input& event)
    {
        auto& at = m_hosts[id];
        take(id, step(*at.m_replica, event, m_now, m_random));
    }

    /// Whether all hosts are up, agree on everything and have all of it applied.
    [[nodiscard]] bool is_settled() const
    {
        return std::all_of(m_hosts.begin(), m_hosts.end(), [&](const host& at) {
            return at.m_replica && at.m_replica->m_commit == m_agreed.rbegin()->first &&
                   is_voter(*at.m_replica) && at.m_replica->m_durable == at.m_replica->m_commit;
        });
    }

    /// Whether a leader committed the change that lets `id` vote under its present disk.
    [[nodiscard]] bool is_repaired(std::uint64_t id) const
    {
        if (!leader()) {
            return false;
        }
        const auto& node = *m_hosts[*leader()].m_replica;
        const auto* known =
            find_member(membership_in_force(node.m_log, node.m_commit), replica_id(id));
        return known != nullptr && known->m_votes &&
               known->m_identity.m_disk == m_hosts[id].m_disk.m_id;
    }

    random_engine m_random;
    network_options m_options;
    std::vector<host> m_hosts;
    time_point m_now{};
    std::string m_broken;                     ///< the first promise that was broken
    std::map<std::uint64_t, entry> m_agreed;  ///< what was committed anywhere, by index

private:
    std::uint64_t draw(std::uint64_t bound) { return uniform_below(m_random, bound); }
    bool happens(std::uint64_t per_thousand) { return draw(1000) < per_thousand; }
    void break_promise(const std::string& what)
    {
        if (m_broken.empty()) {
            m_broken = what;
        }
    }

    [[nodiscard]] replica probe_disk(const host& at) const
    {
        if (at.m_replica) {
            return *at.m_replica;
        }
        random_engine unused;
        return make_replica(m_options.m_replica, {}, at.m_disk.m_synced, m_now, unused);
    }

    void start(std::uint64_t id)
    {
        auto& at = m_hosts[id];
        at.m_replica = make_replica(m_options.m_replica, {replica_id(id), at.m_disk.m_id},
                                    at.m_disk.m_synced, m_now, m_random);
        load_state(at, at.m_disk.m_synced.m_snapshot);
    }

    static void load_state(host& at, const std::shared_ptr<const snapshot>& from)
    {
        at.m_state.clear();
        std::string word;
        for (const char c : from ? from->m_state : std::string()) {
            if (c == ' ') {
                at.m_state.push_back(std::move(word));
                word.clear();
            }
            else {
                word += c;
            }
        }
    }

    void take(std::uint64_t id, effects out)
    {
        auto& at = m_hosts[id];
        if (out.m_diverged) {
            break_promise("a leader contradicted a committed entry");
        }
        if (!out.m_writes.empty()) {
            at.m_disk.m_pending.emplace_back(out.m_batch, out.m_writes);
        }
        if (out.m_restore) {
            ++total.m_installed;
            load_state(at, out.m_restore);
        }
        for (const auto& item : out.m_committed) {
            commit(at, item);
        }
        for (auto& item : out.m_messages) {
            send(std::move(item));
        }
        for (auto& item : out.m_synced_messages) {
            if (m_options.m_sync_before_send) {
                at.m_held.emplace_back(out.m_batch, std::move(item));
            }
            else {
                send(std::move(item));
            }
        }
        for (const auto& read : out.m_reads) {
            total.m_reads += read.m_granted ? 1 : 0;
            if (read.m_granted && read.m_index < m_read_floors[read.m_token]) {
                break_promise("a read missed an acknowledged change");
            }
        }
        check_leader(id);
        if (!m_options.m_sync_before_send && !at.m_replica->m_pending.empty()) {
            feed(id, persisted{at.m_replica->m_batch});
        }
    }

    void commit(host& at, const entry& item)
    {
        const auto [place, is_new] = m_agreed.emplace(item.m_position.m_index, item);
        total.m_committed += is_new ? 1 : 0;
        if (!(place->second == item)) {
            break_promise("two replicas committed different entries at one index");
        }
        if (item.m_kind == entry_kind::command) {
            at.m_state.push_back(item.m_payload);
        }
    }

    /// Election safety, leader completeness and log matching, whenever someone leads.
    void check_leader(std::uint64_t id)
    {
        const auto& node = *m_hosts[id].m_replica;
        if (node.m_role != role::leader) {
            return;
        }
        const auto [place, is_new] = m_leaders.emplace(node.m_hard.m_term, node.m_self);
        if (place->second != node.m_self) {
            break_promise("two leaders in one term");
        }
        if (!is_new) {
            return;
        }
        ++total.m_elections;
        for (const auto& [index, item] : m_agreed) {
            if (index > node.m_log.m_base.m_index &&
                (index > last(node.m_log).m_index || !(entry_at(node.m_log, index) == item))) {
                break_promise("a leader lacks an acknowledged entry");
            }
        }
        check_logs();
    }

    void check_logs()
    {
        for (const auto& first : m_hosts) {
            for (const auto& second : m_hosts) {
                if (first.m_replica && second.m_replica && &first < &second) {
                    check_matching(first.m_replica->m_log, second.m_replica->m_log);
                }
            }
        }
    }

    void check_matching(const log& a, const log& b)
    {
        bool matched = false;
        const auto least = std::max(a.m_base.m_index, b.m_base.m_index);
        for (auto index = std::min(last(a).m_index, last(b).m_index); index > least; --index) {
            const bool same = entry_at(a, index).m_position == entry_at(b, index).m_position;
            matched = matched || same;
            if (matched && !(entry_at(a, index) == entry_at(b, index))) {
                break_promise("two logs match at an entry and differ before it");
            }
        }
    }

    void send(message item)
    {
        ++total.m_sent;
        const auto delay = 1 + draw(m_options.m_most_delay);
        m_flights.push_back({m_now + one_tick * static_cast<std::int64_t>(delay), std::move(item)});
    }

    void deliver(bool faulty)
    {
        std::vector<flight> due;
        std::erase_if(m_flights, [&](flight& item) {
            if (item.m_at > m_now) {
                return false;
            }
            due.push_back(std::move(item));
            return true;
        });
        for (auto& item : due) {
            deliver_one(std::move(item), faulty);
        }
    }

    void deliver_one(flight item, bool faulty)
    {
        const auto from = item.m_message.m_from.m_id.value();
        const auto to = item.m_message.m_to.value();
        const bool is_cut = m_side[from] != m_side[to];
        if (is_cut || !m_hosts[to].m_replica || (faulty && draw(100) < m_options.m_loss)) {
            ++total.m_lost;
            return;
        }
        if (faulty && happens(20)) {
            ++total.m_delayed;
            item.m_at = m_now + one_tick * static_cast<std::int64_t>(draw(200));
            m_flights.push_back(std::move(item));
            return;
        }
        if (faulty && happens(20)) {
            ++total.m_duplicated;
            m_flights.push_back({m_now + one_tick * 7, item.m_message});
        }
        feed(to, item.m_message);
    }

    void inject_faults()
    {
        if (happens(m_options.m_partition)) {
            ++total.m_partitions;
            for (auto& side : m_side) {
                side = static_cast<int>(draw(2));
            }
        }
        if (happens(m_options.m_partition * 2)) {
            heal();
        }
        for (std::uint64_t id = 0; id < m_hosts.size(); ++id) {
            const auto pause = one_tick * static_cast<std::int64_t>(draw(300));
            if (happens(m_options.m_crash)) {
                crash(id, pause);
            }
            if (happens(m_options.m_disk_loss) && may_lose_disk(id)) {
                lose_disk(id, pause);
            }
            if (m_hosts[id].m_replica && happens(1)) {
                ++total.m_transfers;
                feed(id, transfer_request{});
            }
        }
        if (happens(200)) {
            propose();
        }
        if (happens(100)) {
            read();
        }
    }

    void run_host(std::uint64_t id, bool faulty)
    {
        auto& at = m_hosts[id];
        if (!at.m_replica) {
            if (at.m_down_until <= m_now) {
                start(id);
            }
            return;
        }
        feed(id, tick{});
        if (draw(faulty ? m_options.m_sync_pause : 2) == 0) {
            sync(id);
        }
        if (happens(m_options.m_compaction)) {
            compact_host(id);
        }
    }

    void sync(std::uint64_t id)
    {
        auto& at = m_hosts[id];
        if (!at.m_disk.m_pending.empty()) {
            at.m_disk.sync(1 + draw(at.m_disk.m_pending.size()));
        }
        const auto batch = at.m_disk.m_pending.empty() ? at.m_replica->m_batch
                                                       : at.m_disk.m_pending.front().first - 1;
        std::erase_if(at.m_held, [&](std::pair<std::uint64_t, message>& item) {
            if (item.first > batch) {
                return false;
            }
            send(std::move(item.second));
            return true;
        });
        feed(id, persisted{batch});
    }

    void compact_host(std::uint64_t id)
    {
        auto& at = m_hosts[id];
        std::string state;
        for (const auto& word : at.m_state) {
            state += word + ' ';
        }
        ++total.m_snapshots;
        feed(id, compaction{at.m_replica->m_applied, std::move(state)});
    }

    std::vector<flight> m_flights;
    std::vector<int> m_side = std::vector<int>(m_options.m_size, 0);
    std::map<std::uint64_t, identity> m_leaders;
    std::uint64_t m_last_disk = 0;
    std::uint64_t m_last_command = 0;
    std::vector<std::uint64_t> m_read_floors;  ///< by token
};

/// Runs faults, then none, and gives the first broken promise; empty where all held.
std::string find_broken_promise(std::uint64_t seed, const network_options& options)
{
    network net(seed, options);
    net.run(2'000, true);
    if (!net.m_broken.empty()) {
        return net.m_broken;
    }
    net.heal();
    net.run(1'500, false);
    for (int i = 0; i < 40; ++i) {
        net.propose();
        net.run(5, false);
    }
    const auto before = net.m_agreed.empty() ? 0 : net.m_agreed.rbegin()->first;
    net.propose();
    net.run(200, false);
    if (!net.m_broken.empty()) {
        return net.m_broken;
    }
    if (net.m_agreed.empty() || net.m_agreed.rbegin()->first <= before || !net.is_settled()) {
        return "no progress after the faults ended";
    }
    for (const auto& at : net.m_hosts) {
        if (at.m_state != net.m_hosts.front().m_state) {
            return "two state machines differ";
        }
    }
    return {};
}

/// How many of `runs` seeds from `first` on break a promise; prints them for a person.
int count_broken(std::uint64_t runs, const network_options& options, std::uint64_t first)
{
    int broken = 0;
    for (auto seed = first; seed < first + runs; ++seed) {
        const auto found = find_broken_promise(seed, options);
        if (!found.empty()) {
            std::printf("broken: seed=%lu promise=\"%s\"\n", seed, found.c_str());
            ++broken;
        }
    }
    return broken;
}

RC_GTEST_PROP(consensus, three_replicas_keep_every_promise, (std::uint32_t seed))
{
    RC_ASSERT(count_broken(10, {}, seed) == 0);
}

RC_GTEST_PROP(consensus, five_replicas_keep_every_promise, (std::uint32_t seed))
{
    network_options options;
    options.m_size = 5;
    RC_ASSERT(count_broken(10, options, seed) == 0);
}

TEST(log, keeps_no_more_bytes_than_told_behind_a_snapshot)
{
    log subject;
    for (std::uint64_t index = 1; index <= 10; ++index) {
        entry item;
        item.m_position = {1, index};
        item.m_payload = std::string(100, 'x');
        append(subject, item);
    }
    const auto taken = std::make_shared<snapshot>();
    taken->m_position = {1, 8};
    compact(subject, taken, {1'024, byte_count{300}});
    EXPECT_EQ(subject.m_base.m_index, 5U);
    EXPECT_EQ(last(subject).m_index, 10U);
    compact(subject, taken, {1'024, byte_count{0}});
    EXPECT_EQ(subject.m_base.m_index, 8U) << "what the snapshot does not hold stays";
}

TEST(consensus, one_and_seven_replicas_keep_every_promise)
{
    for (const std::size_t size : {1, 7}) {
        network_options options;
        options.m_size = size;
        EXPECT_EQ(count_broken(100, options, 0), 0) << size;
    }
}

/// A learner held a membership that no leader knew, and stopped to probe for good.
TEST(consensus, learner_with_a_lost_membership_comes_back)
{
    network_options options;
    options.m_size = 5;
    EXPECT_EQ(find_broken_promise(128, options), "");
}

/// A late snapshot dropped entries behind it that were acknowledged (seed 110278 showed it).
TEST(consensus, a_late_snapshot_drops_nothing_that_was_acknowledged)
{
    EXPECT_EQ(find_broken_promise(110278, {}), "");
    random_engine random(1);
    auto self = make_replica({}, {replica_id(0), disk_id(1)}, {}, {}, random);
    message entries;
    entries.m_from = {replica_id(1), disk_id(1)};
    entries.m_term = 1;
    for (std::uint64_t index = 1; index <= 3; ++index) {
        entries.m_entries.push_back({{1, index}, entry_kind::command, "c", {}});
    }
    step(self, entries, {}, random);
    message late;
    late.m_kind = message_kind::install;
    late.m_from = entries.m_from;
    late.m_term = 1;
    late.m_snapshot = std::make_shared<snapshot>(snapshot{{1, 2}, {}, "s"});
    const auto out = step(self, late, {}, random);
    EXPECT_EQ(last(self.m_log).m_index, 3U);
    EXPECT_EQ(out.m_committed.size(), 2U);
    EXPECT_FALSE(out.m_restore);
}

// Each mechanism switched off must be seen to break a promise under the same faults.

TEST(consensus_broken, blank_disk_that_votes_loses_changes)
{
    network_options options;
    options.m_replica.m_identify_disks = false;
    EXPECT_GT(count_broken(50, options, 0), 0);
}

TEST(consensus_broken, messages_before_the_sync_lose_changes)
{
    network_options options;
    options.m_sync_before_send = false;
    options.m_sync_pause = 20;
    EXPECT_GT(count_broken(100, options, 0), 0);
}

TEST(consensus_broken, unsynced_copy_of_the_leader_loses_changes)
{
    network_options options;
    options.m_replica.m_count_synced = false;
    options.m_sync_pause = 20;
    EXPECT_GT(count_broken(300, options, 0), 0);
}

/// A settled network, and the host that leads it.
network settled_network(std::size_t size, replica_options replica = {},
                        std::uint64_t compaction = 10)
{
    network_options options;
    options.m_compaction = compaction;
    options.m_size = size;
    options.m_replica = std::move(replica);
    network net(7, options);
    net.run(400, false);
    for (int i = 0; i < 20; ++i) {
        net.propose();
        net.run(10, false);
    }
    net.run(100, false);
    EXPECT_TRUE(net.leader() && net.is_settled());
    return net;
}

/// Cuts one follower off for two seconds, heals, and says by how many terms the log moved on.
std::uint64_t terms_after_a_cut(const replica_options& replica)
{
    auto net = settled_network(3, replica);
    const auto before = net.m_hosts[*net.leader()].m_replica->m_hard.m_term;
    std::vector<int> sides(3, 0);
    sides[(*net.leader() + 1) % 3] = 1;
    net.cut(sides);
    net.run(400, false);
    net.heal();
    net.run(400, false);
    return net.m_hosts[*net.leader()].m_replica->m_hard.m_term - before;
}

TEST(consensus, a_follower_that_was_cut_off_deposes_nobody)
{
    EXPECT_EQ(terms_after_a_cut({}), 0U);
    replica_options broken;
    broken.m_pre_vote = false;
    EXPECT_GT(terms_after_a_cut(broken), 0U);
}

/// Cuts the leader off without a word; whether it still believes to lead a second later.
bool leads_after_a_cut(const replica_options& replica)
{
    auto net = settled_network(3, replica);
    const auto old = *net.leader();
    std::vector<int> sides(3, 0);
    sides[old] = 1;
    net.cut(sides);
    net.run(200, false);
    return net.m_hosts[old].m_replica->m_role == role::leader;
}

TEST(consensus, a_leader_that_was_cut_off_steps_down_by_its_own_deadline)
{
    EXPECT_FALSE(leads_after_a_cut({}));
    replica_options broken;
    broken.m_check_quorum = false;
    EXPECT_TRUE(leads_after_a_cut(broken));
}

/// Loses a disk, repairs it, loses the next one the moment the repair shows, and so on.
TEST(consensus, second_host_lost_right_after_the_repair)
{
    for (const std::size_t size : {3, 5}) {
        auto net = settled_network(size);
        for (std::uint64_t round = 0; round < 3 * size; ++round) {
            net.propose();
            net.run(3, false);
            const auto victim = round % size;
            net.lose_disk(victim, one_tick * 20);
            for (int i = 0; i < 2'000 && !net.is_repaired(victim); ++i) {
                net.run(1, false);
            }
            ASSERT_TRUE(net.is_repaired(victim)) << "round " << round << " of " << size;
            ASSERT_EQ(net.m_broken, "");
        }
        net.run(1'000, false);
        EXPECT_TRUE(net.is_settled());
        EXPECT_EQ(net.m_broken, "");
    }
}

TEST(consensus, a_replica_that_slept_through_hundreds_of_changes_gets_a_snapshot)
{
    auto net = settled_network(3);
    const auto sleeper = (*net.leader() + 1) % 3;
    net.crash(sleeper, one_tick * 3'000);
    for (int i = 0; i < 600; ++i) {
        net.propose();
        net.run(2, false);
    }
    const auto installed = total.m_installed;
    net.run(3'000, false);
    EXPECT_TRUE(net.is_settled());
    EXPECT_GT(total.m_installed, installed);
    EXPECT_EQ(net.m_broken, "");
}

TEST(consensus, a_replica_that_restarts_alone_keeps_what_was_committed)
{
    auto net = settled_network(3, {}, 0);
    net.run(20, false);
    const auto before = net.m_hosts[0].m_state;
    net.crash(0, one_tick);
    net.cut({1, 0, 0});
    net.run(400, false);
    EXPECT_FALSE(before.empty());
    EXPECT_EQ(net.m_hosts[0].m_state, before);
}

/// The log that every replica of a network belongs to; 0 where they differ.
log_id common_log(const network& net)
{
    const auto first = net.m_hosts.front().m_replica->m_hard.m_log;
    const bool is_common = std::all_of(net.m_hosts.begin(), net.m_hosts.end(), [&](const host& at) {
        return at.m_replica->m_hard.m_log == first;
    });
    return is_common ? first : log_id{};
}

TEST(consensus, all_replicas_keep_the_identity_of_the_log)
{
    auto net = settled_network(3);
    const auto founded = common_log(net);
    EXPECT_NE(founded, log_id{});
    net.crash(0, one_tick);
    net.lose_disk(1, one_tick * 20);
    net.run(2'000, false);
    ASSERT_TRUE(net.is_settled());
    EXPECT_EQ(common_log(net), founded);
}

// An address in the settings leads to a replica of another deployment, which has the same small
// replica numbers and may be in any term. Whatever it sends counts for nothing.
TEST(consensus, messages_of_another_log_change_nothing)
{
    for (const auto kind : {message_kind::probe, message_kind::pre_vote, message_kind::vote,
                            message_kind::append, message_kind::install, message_kind::append_reply,
                            message_kind::forward, message_kind::campaign_now}) {
        auto net = settled_network(3);
        const auto leader = *net.leader();
        for (std::uint64_t id = 0; id < 3; ++id) {
            const auto before = *net.m_hosts[id].m_replica;
            message strange;
            strange.m_kind = kind;
            strange.m_from = {replica_id((id + 1) % 3), disk_id(1'000)};
            strange.m_to = replica_id(id);
            strange.m_log = log_id(before.m_hard.m_log.value() + 1);
            strange.m_term = before.m_hard.m_term + 10;
            strange.m_forced = true;
            net.feed(id, strange);
            const auto& after = *net.m_hosts[id].m_replica;
            EXPECT_EQ(after.m_hard, before.m_hard);
            EXPECT_EQ(after.m_role, before.m_role);
            EXPECT_EQ(newest_membership(after.m_log).m_members,
                      newest_membership(before.m_log).m_members);
        }
        EXPECT_EQ(net.leader(), leader);
    }
}

TEST(consensus, a_planned_stop_hands_over_without_an_election_timeout)
{
    auto net = settled_network(3);
    const auto old = *net.leader();
    net.feed(old, transfer_request{});
    net.run(40, false);  // 200 ms, less than the least election deadline
    ASSERT_TRUE(net.leader());
    EXPECT_NE(*net.leader(), old);
}

message answer_to(const replica& self, std::size_t from, message_kind kind)
{
    message made;
    made.m_kind = kind;
    made.m_from = {replica_id(from), disk_id(1)};
    made.m_to = self.m_self.m_id;
    made.m_term = self.m_hard.m_term;
    made.m_granted = true;
    return made;
}

/// An entry of an older term stands on a majority; the index that its new leader commits.
std::uint64_t commit_of_an_older_term(const replica_options& options)
{
    recovered_state disk;
    disk.m_hard.m_term = 3;
    disk.m_entries = {{{1, 1}, entry_kind::members, {}, {}},
                      {{2, 2}, entry_kind::command, "c", {}}};
    for (std::uint64_t id = 0; id < 5; ++id) {
        disk.m_entries.front().m_members.push_back({{replica_id(id), disk_id(1)}, true});
    }
    random_engine random(1);
    auto self = make_replica(options, {replica_id(0), disk_id(1)}, disk, {}, random);
    const auto now = time_point(std::chrono::seconds(1));
    step(self, tick{}, now, random);
    for (const auto kind : {message_kind::pre_vote_reply, message_kind::vote_reply}) {
        for (const std::size_t from : {1, 2}) {
            auto vote = answer_to(self, from, kind);
            vote.m_term += kind == message_kind::pre_vote_reply ? 1 : 0;
            step(self, vote, now, random);
        }
        step(self, persisted{self.m_batch}, now, random);
    }
    EXPECT_EQ(self.m_role, role::leader);
    for (const std::size_t from : {1, 2}) {
        auto match = answer_to(self, from, message_kind::append_reply);
        match.m_hint = 2;
        step(self, match, now, random);
    }
    return self.m_commit;
}

TEST(consensus, an_entry_of_an_older_term_is_committed_by_the_own_term_alone)
{
    EXPECT_EQ(commit_of_an_older_term({}), 0U);
    replica_options broken;
    broken.m_commit_own_term = false;
    EXPECT_EQ(commit_of_an_older_term(broken), 2U);
}

TEST(consensus, reads_wait_for_a_majority)
{
    auto net = settled_network(3);
    const auto leader = *net.leader();
    auto& node = *net.m_hosts[leader].m_replica;
    auto out = step(node, read_request{9}, net.m_now, net.m_random);
    EXPECT_TRUE(out.m_reads.empty());
    auto answer = answer_to(node, 0, message_kind::append_reply);
    answer.m_from = node.m_peers.front().m_member.m_identity;
    answer.m_round = node.m_round;
    out = step(node, answer, net.m_now, net.m_random);
    ASSERT_EQ(out.m_reads.size(), 1U);
    EXPECT_TRUE(out.m_reads.front().m_granted);
    EXPECT_EQ(out.m_reads.front().m_index, node.m_commit);
}

TEST(consensus, an_operator_removes_and_adds_a_replica)
{
    auto net = settled_network(5);
    const auto leader = *net.leader();
    const auto other = replica_id((leader + 1) % 5);
    net.feed(leader, member_change{other, true});
    net.run(200, false);
    const auto& log = net.m_hosts[leader].m_replica->m_log;
    EXPECT_EQ(count_voters(newest_membership(log).m_members), 4U);
    net.feed(leader, member_change{other, false});
    net.run(600, false);
    EXPECT_EQ(count_voters(newest_membership(log).m_members), 5U);
    EXPECT_TRUE(net.is_settled());
}

}  // namespace
}  // namespace dewbeam::consensus
