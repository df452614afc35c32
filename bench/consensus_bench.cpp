// Cost of the replicated log: commits, syncs, bytes, snapshot and recovery. One JSON line.
#include <chrono>
#include <cstdio>
#include <ctime>
#include <filesystem>
#include <nlohmann/json.hpp>

#include "dewbeam/consensus"
#include "dewbeam/src/control/wire.h"
#include "dewbeam/storage"

namespace dewbeam::consensus {
namespace {

namespace fs = std::filesystem;
using json = nlohmann::json;

double wall_seconds()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration<double>(now).count();
}

double cpu_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// A folder that goes with the run.
struct scratch_folder {
    scratch_folder()
    {
        auto pattern = (fs::current_path() / "consensus-bench-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
    }
    ~scratch_folder() { fs::remove_all(m_path); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    scratch_folder(scratch_folder&&) = delete;
    scratch_folder& operator=(scratch_folder&&) = delete;

    std::string m_path;
};

/// Three replicas in one process; messages arrive at once, in order.
class trio {
public:
    explicit trio(const std::string& folder)
    {
        replica_options options;
        options.m_seeds = {replica_id(0), replica_id(1), replica_id(2)};
        for (std::uint64_t id = 0; id < 3; ++id) {
            const disk_id disk(id + 1);
            m_replicas.push_back(
                make_replica(options, {replica_id(id), disk}, {}, m_now, m_random));
            if (!folder.empty()) {
                m_disks.push_back(
                    *storage::replica_storage::open(folder + "/" + std::to_string(id), disk));
            }
        }
        for (int i = 0; i < 200 && m_replicas[0].m_role != role::leader; ++i) {
            m_now += std::chrono::milliseconds(10);
            feed(0, tick{});
        }
    }

    void propose(std::vector<std::string> payloads) { feed(0, proposal{std::move(payloads)}); }

    [[nodiscard]] std::uint64_t committed() const { return m_replicas[0].m_commit; }
    std::uint64_t m_wire_bytes = 0;

private:
    void feed(std::uint64_t id, const input& event)
    {
        take(id, step(m_replicas[id], event, m_now, m_random));
        while (!m_flights.empty()) {
            const auto next = std::move(m_flights.front());
            m_flights.pop_front();
            const auto to = next.m_to.value();
            take(to, step(m_replicas[to], next, m_now, m_random));
        }
    }

    void take(std::uint64_t id, effects out)
    {
        send(std::move(out.m_messages));
        const bool writes_something = !out.m_writes.empty();
        if (writes_something && !m_disks.empty()) {
            m_disks[id]->write(std::vector{out.m_writes});
        }
        send(std::move(out.m_synced_messages));
        if (writes_something) {
            take(id, step(m_replicas[id], persisted{out.m_batch}, m_now, m_random));
        }
    }

    void send(std::vector<message> messages)
    {
        for (const auto& item : messages) {
            const auto bytes = control::to_wire(item).SerializeAsString();
            m_wire_bytes += bytes.size();
            wire::ConsensusMessage received;
            received.ParseFromString(bytes);
            m_flights.push_back(*control::from_wire(received));
        }
    }

    time_point m_now{};
    random_engine m_random{1};
    std::vector<replica> m_replicas;
    std::vector<std::unique_ptr<storage::replica_storage>> m_disks;
    std::deque<message> m_flights;
};

command change_command(std::uint64_t number)
{
    configuration::change wanted{"change-" + std::to_string(number), number, {}};
    wanted.m_patch["workspaces"]["arusha"]["weight"] = 1 + number % 7;
    return {{replica_id(0), incarnation(1), number}, wanted};
}

command claim_command(std::uint64_t number)
{
    claims::claim wanted;
    wanted.m_key = claims::claim_key(std::string(16, 'k') + std::to_string(number));
    wanted.m_attempt = {incarnation(1), number};
    wanted.m_agent = host_id("upstream-host-12");
    wanted.m_forget_at = time_point(std::chrono::hours(24));
    return {{replica_id(0), incarnation(1), number}, wanted};
}

command report_command(std::uint64_t number, std::size_t answer)
{
    claims::claim_report report;
    report.m_key = std::get<claims::claim>(claim_command(number).m_body).m_key;
    report.m_attempt = {incarnation(1), number};
    report.m_outcome = ledger::outcome::completed;
    report.m_answer = claims::kept_answer{200, {}, std::string(answer, 'a')};
    report.m_forget_at = time_point(std::chrono::hours(24));
    return {{replica_id(0), incarnation(1), number}, report};
}

/// Commits `count` changes in groups of `group` and measures.
json measure_commits(std::uint64_t count, std::uint64_t group, const std::string& folder)
{
    trio log(folder);
    const auto first = log.committed();
    const auto bytes = log.m_wire_bytes;
    const auto wall = wall_seconds();
    const auto cpu = cpu_seconds();
    for (std::uint64_t done = 0; done < count; done += group) {
        std::vector<std::string> payloads;
        for (std::uint64_t i = 0; i < group; ++i) {
            payloads.push_back(control::encode(change_command(done + i)));
        }
        log.propose(std::move(payloads));
    }
    const auto changes = static_cast<double>(log.committed() - first);
    return {{"group", group},
            {"commits", changes},
            {"commits_per_s", changes / (wall_seconds() - wall)},
            {"cpu_us_per_commit_3_replicas", (cpu_seconds() - cpu) * 1e6 / changes},
            {"wire_bytes_per_commit", static_cast<double>(log.m_wire_bytes - bytes) / changes}};
}

json measure_synced(std::uint64_t count, std::uint64_t group)
{
    const scratch_folder folder;
    return measure_commits(count, group, folder.m_path);
}

json measure_snapshot(std::size_t answer)
{
    replicated_state state;
    const auto empty = control::encode(state).size();
    for (std::uint64_t number = 1; number <= 1'000; ++number) {
        apply(state, claim_command(number), {1, number});
        if (answer > 0) {
            apply(state, report_command(number, answer), {1, number});
        }
    }
    const auto wall = wall_seconds();
    const auto bytes = control::encode(state).size();
    return {{"answer_bytes", answer},
            {"bytes_per_1000_claims", bytes - empty},
            {"encode_ms", (wall_seconds() - wall) * 1e3}};
}

json measure_recovery(std::uint64_t count)
{
    const scratch_folder folder;
    auto disk = *storage::replica_storage::open(folder.m_path, disk_id(1));
    for (std::uint64_t index = 1; index <= count; index += 100) {
        std::vector<writes> batches(100);
        for (std::uint64_t i = 0; i < batches.size(); ++i) {
            auto payload = control::encode(change_command(index + i));
            batches[i].m_entries = {{{1, index + i}, entry_kind::command, std::move(payload), {}}};
        }
        disk->write(batches);
    }
    const auto log = folder.m_path + "/" + storage::list_files(folder.m_path, "log-").back();
    disk.reset();
    const auto wall = wall_seconds();
    disk = *storage::replica_storage::open(folder.m_path, disk_id(1));
    return {{"entries", disk->held().m_entries.size()},
            {"ms", (wall_seconds() - wall) * 1e3},
            {"file_bytes_per_entry",
             static_cast<double>(fs::file_size(log)) / static_cast<double>(count)}};
}

}  // namespace
}  // namespace dewbeam::consensus

int main()
{
    using namespace dewbeam::consensus;
    const nlohmann::json result = {
        {"bench", "consensus"},
        {"memory", {measure_commits(20'000, 1, ""), measure_commits(64'000, 64, "")}},
        {"synced", {measure_synced(500, 1), measure_synced(16'000, 64)}},
        {"snapshot", {measure_snapshot(0), measure_snapshot(1'024)}},
        {"recovery", measure_recovery(10'000)}};
    std::printf("%s\n", result.dump().c_str());
    return 0;
}
