#include "dewbeam/src/control/replica_runner.h"

#include <algorithm>
#include <condition_variable>
#include <deque>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

#include "dewbeam/src/control/wire.h"
#include "dewbeam/src/program/program.h"
#include "dewbeam/storage"

namespace dewbeam::control {

namespace {

using consensus::replica_id;
using storage::write_outcome;

constexpr time_span resend_span = std::chrono::milliseconds(250);
/// How often a replica asks a quorum whether it holds everything that was acknowledged.
constexpr time_span confirm_span = std::chrono::milliseconds(500);
constexpr time_span full_disk_pause = std::chrono::milliseconds(500);
constexpr time_span withdrawal_limit = std::chrono::hours(1);
constexpr time_span hand_over_limit = std::chrono::seconds(1);
constexpr std::size_t most_waiting = 10'000;

time_point steady_now()
{
    const auto since = std::chrono::steady_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<time_span>(since));
}

time_point wall_now()
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return time_point(std::chrono::duration_cast<time_span>(since));
}

/// The result of a command, or nothing where no majority answered.
using command_done = std::function<void(const consensus::command_result*)>;

/// A command that is not applied yet.
struct waiting_command {
    consensus::command m_command;
    std::string m_payload;
    command_done m_done;
    time_point m_deadline{};
    time_point m_resend_at{};
};

/// A read that is not answered yet.
struct waiting_read {
    std::function<void(bool)> m_done;
    time_point m_deadline{};
    time_point m_begun_at{};
    std::uint64_t m_index = 0;  ///< 0: not known yet
};

/// Writes of one step, for the thread that syncs.
struct queued_batch {
    std::uint64_t m_batch = 0;
    consensus::writes m_writes;
};

/// A message that waits for a sync.
struct held_message {
    std::uint64_t m_batch = 0;
    consensus::message m_message;
};

/// What is to be done once the lock is given back.
struct deferred_work {
    std::vector<consensus::message> m_messages;
    std::vector<std::function<void()>> m_calls;
};

}  // namespace

class replica_runner::implementation {
public:
    implementation(runner_options options, runner_hooks hooks,
                   std::unique_ptr<storage::replica_storage> disk)
        : m_options(std::move(options)),
          m_hooks(std::move(hooks)),
          m_disk(std::move(disk)),
          m_random(election_seed(m_options.m_replica, m_options.m_life, m_disk->disk()))
    {
        m_options.m_consensus.m_seeds = m_options.m_seeds;
        for (std::uint64_t id = 1; id <= m_options.m_addresses.size(); ++id) {
            m_options.m_consensus.m_seeds.push_back(replica_id(id));
        }
    }

    absl::Status load()
    {
        const auto& held = m_disk->held();
        m_replica = consensus::make_replica(m_options.m_consensus,
                                            {replica_id(m_options.m_replica), m_disk->disk()}, held,
                                            steady_now(), m_random);
        m_next_read_at = steady_now();
        m_last_token = m_random();
        if (!held.m_snapshot) {
            return absl::OkStatus();
        }
        auto state = decode_state(held.m_snapshot->m_state);
        if (!state.ok()) {
            return state.status();
        }
        m_state = *std::move(state);
        m_snapshot_index = held.m_snapshot->m_position.m_index;
        return absl::OkStatus();
    }

    void start_threads()
    {
        m_ticker = std::thread([this] { run_ticks(); });
        m_syncer = std::thread([this] { run_syncs(); });
    }

    void propose(decltype(consensus::command::m_body) body, command_done done)
    {
        deferred_work work;
        {
            const std::lock_guard lock(m_mutex);
            add_command(work, std::move(body), std::move(done), m_options.m_answer_limit);
        }
        carry_out(std::move(work));
    }

    [[nodiscard]] claims::claim to_claim(claim_request wanted) const
    {
        const auto now = wall_now();
        return {{},  // the command's id, once it has one
                std::move(wanted.m_key),
                wanted.m_attempt,
                std::move(wanted.m_agent),
                wanted.m_fingerprint,
                now,
                now + m_options.m_claim_retention};
    }

    [[nodiscard]] claims::claim_report to_report(claim_outcome ended) const
    {
        const auto now = wall_now();
        return {std::move(ended.m_key),
                ended.m_attempt,
                ended.m_outcome,
                std::move(ended.m_answer),
                now,
                now + m_options.m_claim_retention,
                std::nullopt};
    }

    void read(std::function<void(bool)> done)
    {
        deferred_work work;
        {
            const std::lock_guard lock(m_mutex);
            add_read(work, std::move(done));
        }
        carry_out(std::move(work));
    }

    void receive(const wire::ConsensusMessage& from)
    {
        auto message = from_wire(from);
        if (!message.ok()) {
            log_event(log_level::warning, "consensus_message_refused",
                      {{"reason", std::string(message.status().message())}});
            return;
        }
        deferred_work work;
        {
            const std::lock_guard lock(m_mutex);
            react(work, *std::move(message));
        }
        carry_out(std::move(work));
    }

    [[nodiscard]] current_configuration configuration() const
    {
        const std::lock_guard lock(m_mutex);
        const auto& store = m_state.m_configuration;
        return {store.m_version, store.m_number, store.m_source};
    }

    [[nodiscard]] revisions::revision_store revision() const
    {
        const std::lock_guard lock(m_mutex);
        return m_state.m_revisions;
    }

    [[nodiscard]] drains::drain_state drains() const
    {
        const std::lock_guard lock(m_mutex);
        return m_state.m_drains;
    }

    void note_replicas(std::vector<consensus::replica_id> known)
    {
        deferred_work work;
        const std::lock_guard lock(m_mutex);
        react(work, consensus::known_replicas{std::move(known)});
    }

    [[nodiscard]] log_id log() const
    {
        const std::lock_guard lock(m_mutex);
        return m_replica.m_hard.m_log;
    }

    [[nodiscard]] runner_status status() const
    {
        const std::lock_guard lock(m_mutex);
        runner_status result;
        result.m_replica = m_options.m_replica;
        result.m_leader = m_replica.m_leader ? m_replica.m_leader->value() : 0;
        result.m_has_quorum = !m_has_failed && consensus::has_quorum(m_replica, steady_now());
        result.m_is_voter = consensus::is_voter(m_replica);
        result.m_is_caught_up = m_confirmed_at != time_point{};
        result.m_confirmed_at = m_confirmed_at;
        result.m_is_disk_full = m_is_disk_full;
        result.m_has_failed = m_has_failed;
        result.m_term = m_replica.m_hard.m_term;
        result.m_commit = m_replica.m_commit;
        result.m_applied = m_replica.m_applied;
        result.m_members = consensus::newest_membership(m_replica.m_log).m_members;
        result.m_claims = m_state.m_claims.m_claims.size();
        result.m_kept_answers = m_state.m_claims.m_answer_bytes;
        return result;
    }

    void stop()
    {
        drain();
        hand_over();
        deferred_work work;
        {
            const std::lock_guard lock(m_mutex);
            m_must_stop = true;
            expire(work, no_deadline);
        }
        m_wake.notify_all();
        for (auto* thread : {&m_ticker, &m_syncer}) {
            if (thread->joinable()) {
                thread->join();
            }
        }
        carry_out(std::move(work));
    }

private:
    /// One step, and everything of its effects that needs the lock.
    void react(deferred_work& work, const consensus::input& event)
    {
        if (m_has_failed) {
            return;
        }
        const auto version = m_state.m_configuration.m_version;
        const auto revision = m_state.m_revisions.m_number;
        const auto drain = m_state.m_drains.m_last_change;
        auto out = consensus::step(m_replica, event, steady_now(), m_random);
        if (out.m_diverged) {
            fail(work, "the leader contradicts a committed entry");
            return;
        }
        queue_writes(out);
        take_messages(work, out);
        if (out.m_restore) {
            restore(work, *out.m_restore);
        }
        for (const auto& item : out.m_committed) {
            apply_entry(work, item);
        }
        for (const auto& item : out.m_reads) {
            take_read(work, item);
        }
        finish_reads(work);
        if (version < m_state.m_configuration.m_version ||
            revision < m_state.m_revisions.m_number || drain < m_state.m_drains.m_last_change) {
            work.m_calls.push_back(m_hooks.m_on_configuration);
        }
    }

    void queue_writes(consensus::effects& out)
    {
        if (!out.m_writes.empty()) {
            m_queue.push_back({out.m_batch, std::move(out.m_writes)});
            m_wake.notify_all();
        }
    }

    void take_messages(deferred_work& work, consensus::effects& out)
    {
        std::move(out.m_messages.begin(), out.m_messages.end(),
                  std::back_inserter(work.m_messages));
        for (auto& item : out.m_synced_messages) {
            m_held.push_back({out.m_batch, std::move(item)});
        }
        release_messages(work);
    }

    void release_messages(deferred_work& work)
    {
        while (!m_held.empty() && m_held.front().m_batch <= m_synced_batch) {
            work.m_messages.push_back(std::move(m_held.front().m_message));
            m_held.pop_front();
        }
    }

    void restore(deferred_work& work, const consensus::snapshot& from)
    {
        auto state = decode_state(from.m_state);
        if (!state.ok()) {
            fail(work, std::string(state.status().message()));
            return;
        }
        m_state = *std::move(state);
        m_snapshot_index = from.m_position.m_index;
        m_bytes_since_snapshot = {};
    }

    void apply_entry(deferred_work& work, const consensus::entry& item)
    {
        if (item.m_kind != consensus::entry_kind::command) {
            return;
        }
        const auto wanted = decode_command(item.m_payload);
        m_bytes_since_snapshot += {static_cast<std::int64_t>(item.m_payload.size())};
        if (!wanted.ok()) {
            log_event(log_level::error, "command_passed_over",
                      {{"index", item.m_position.m_index},
                       {"reason", std::string(wanted.status().message())}});
            return;
        }
        const auto result = consensus::apply(m_state, *wanted, item.m_position);
        const auto& id = wanted->m_id;
        if (id.m_origin == m_replica.m_self.m_id && id.m_life == m_options.m_life) {
            answer(work, id.m_number, result);
        }
    }

    void answer(deferred_work& work, std::uint64_t number, const consensus::command_result& result)
    {
        const auto place = m_commands.find(number);
        if (place == m_commands.end()) {
            return;
        }
        work.m_calls.emplace_back(
            [done = std::move(place->second.m_done), result] { done(&result); });
        m_commands.erase(place);
    }

    void add_command(deferred_work& work, decltype(consensus::command::m_body) body,
                     command_done done, time_span limit)
    {
        const auto now = steady_now();
        if (m_is_draining || m_has_failed || m_commands.size() >= most_waiting) {
            work.m_calls.emplace_back([done = std::move(done)] { done(nullptr); });
            return;
        }
        const auto number = ++m_last_number;
        waiting_command added;
        added.m_command = {{m_replica.m_self.m_id, m_options.m_life, number}, std::move(body)};
        added.m_payload = encode(added.m_command);
        added.m_done = std::move(done);
        added.m_deadline = now + limit;
        added.m_resend_at = now + resend_span;
        const consensus::proposal proposed{{added.m_payload}};
        m_commands.emplace(number, std::move(added));
        react(work, proposed);
    }

    void add_read(deferred_work& work, std::function<void(bool)> done)
    {
        if (m_is_draining || m_has_failed || m_reads.size() >= most_waiting) {
            work.m_calls.emplace_back([done = std::move(done)] { done(false); });
            return;
        }
        const auto token = ++m_last_token;
        m_reads[token] = {std::move(done), steady_now() + m_options.m_answer_limit, program::now(),
                          0};
        react(work, consensus::read_request{token});
    }

    void take_read(deferred_work& work, const consensus::read_result& result)
    {
        const auto place = m_reads.find(result.m_token);
        if (place == m_reads.end()) {
            return;
        }
        if (result.m_granted) {
            place->second.m_index = std::max<std::uint64_t>(result.m_index, 1);
            return;
        }
        work.m_calls.emplace_back([done = std::move(place->second.m_done)] { done(false); });
        m_reads.erase(place);
    }

    void finish_reads(deferred_work& work)
    {
        std::erase_if(m_reads, [&](auto& item) {
            auto& read = item.second;
            if (read.m_index == 0 || read.m_index > m_replica.m_applied) {
                return false;
            }
            m_confirmed_at = std::max(m_confirmed_at, read.m_begun_at);
            work.m_calls.emplace_back([done = std::move(read.m_done)] { done(true); });
            return true;
        });
    }

    void expire(deferred_work& work, time_point now)
    {
        std::vector<consensus::command> given_up;
        std::erase_if(m_commands, [&](auto& item) {
            auto& command = item.second;
            if (command.m_deadline > now) {
                return false;
            }
            if (std::holds_alternative<claims::claim>(command.m_command.m_body)) {
                given_up.push_back(command.m_command);
            }
            work.m_calls.emplace_back([done = std::move(command.m_done)] { done(nullptr); });
            return true;
        });
        std::erase_if(m_reads, [&](auto& item) {
            if (item.second.m_deadline > now) {
                return false;
            }
            work.m_calls.emplace_back([done = std::move(item.second.m_done)] { done(false); });
            return true;
        });
        for (const auto& wanted : given_up) {
            withdraw(work, wanted);
        }
    }

    /// The caller hears that its claim didn't come to be: it must not come to be later.
    void withdraw(deferred_work& work, const consensus::command& given_up)
    {
        const auto& wanted = std::get<claims::claim>(given_up.m_body);
        claims::claim_report report;
        report.m_key = wanted.m_key;
        report.m_attempt = wanted.m_attempt;
        report.m_outcome = ledger::outcome::not_run;
        report.m_time = wanted.m_time;
        report.m_forget_at = wanted.m_forget_at;
        report.m_withdraws = claims::proposal_id{given_up.m_id.m_origin.value(),
                                                 given_up.m_id.m_life, given_up.m_id.m_number};
        const auto nobody = [](const consensus::command_result*) {};
        add_command(work, std::move(report), nobody, withdrawal_limit);
    }

    void resend(deferred_work& work, time_point now)
    {
        std::vector<std::string> payloads;
        for (auto& [number, command] : m_commands) {
            if (command.m_resend_at <= now) {
                command.m_resend_at = now + resend_span;
                payloads.push_back(command.m_payload);
            }
        }
        if (!payloads.empty()) {
            react(work, consensus::proposal{std::move(payloads)});
        }
    }

    /// What this host holds may be outdated, after a start or a partition, until a majority
    /// confirms it.
    void confirm_when_due(deferred_work& work, time_point now)
    {
        if (m_next_read_at > now) {
            return;
        }
        m_next_read_at = now + (m_confirmed_at == time_point{} ? resend_span : confirm_span);
        add_read(work, [](bool) {});
    }

    void compact_when_due(deferred_work& work)
    {
        const auto applied = m_replica.m_applied;
        const bool is_due = applied >= m_snapshot_index + m_options.m_snapshot_entries ||
                            m_bytes_since_snapshot >= m_options.m_snapshot_bytes;
        if (!is_due || m_has_failed || m_is_disk_full) {
            return;
        }
        m_snapshot_index = applied;
        m_bytes_since_snapshot = {};
        react(work, consensus::compaction{applied, encode(m_state)});
    }

    void run_ticks()
    {
        std::unique_lock lock(m_mutex);
        while (!m_must_stop) {
            m_wake.wait_for(lock, m_options.m_tick_span, [this] { return m_must_stop; });
            deferred_work work;
            const auto now = steady_now();
            react(work, consensus::tick{});
            expire(work, now);
            resend(work, now);
            confirm_when_due(work, now);
            compact_when_due(work);
            lock.unlock();
            carry_out(std::move(work));
            lock.lock();
        }
    }

    void run_syncs()
    {
        std::unique_lock lock(m_mutex);
        for (;;) {
            m_wake.wait(lock, [this] { return m_must_stop || !m_queue.empty(); });
            if (m_queue.empty() || m_has_failed) {
                return;
            }
            if (!sync_queue(lock) && m_must_stop) {
                return;
            }
        }
    }

    /// Syncs all that waits, in one go; false where the disk didn't take it.
    bool sync_queue(std::unique_lock<std::mutex>& lock)
    {
        std::vector<queued_batch> group(std::make_move_iterator(m_queue.begin()),
                                        std::make_move_iterator(m_queue.end()));
        m_queue.clear();
        std::vector<consensus::writes> writes;
        writes.reserve(group.size());
        for (auto& item : group) {
            writes.push_back(std::move(item.m_writes));
        }
        lock.unlock();
        const auto result = m_disk->write(writes);
        lock.lock();
        for (std::size_t i = group.size(); i > result.m_done; --i) {
            m_queue.push_front({group[i - 1].m_batch, std::move(writes[i - 1])});
        }
        deferred_work work;
        note_disk(work, result.m_outcome);
        if (result.m_done > 0) {
            m_synced_batch = group[result.m_done - 1].m_batch;
            react(work, consensus::persisted{m_synced_batch});
            release_messages(work);
        }
        lock.unlock();
        carry_out(std::move(work));
        lock.lock();
        if (result.m_outcome == write_outcome::full) {
            m_wake.wait_for(lock, full_disk_pause, [this] { return m_must_stop; });
        }
        return result.m_outcome == write_outcome::done;
    }

    void note_disk(deferred_work& work, write_outcome outcome)
    {
        if (outcome == write_outcome::broken) {
            fail(work, "the disk failed");
            return;
        }
        const bool is_full = outcome == write_outcome::full;
        if (is_full != m_is_disk_full) {
            m_is_disk_full = is_full;
            log_event(log_level::warning, is_full ? "disk_full" : "disk_has_room",
                      {{"folder", m_options.m_data_folder}});
        }
        if (is_full) {
            react(work, consensus::transfer_request{});
        }
    }

    void fail(deferred_work& work, const std::string& reason)
    {
        m_has_failed = true;
        log_event(log_level::error, "replica_failed", {{"reason", reason}});
        work.m_calls.emplace_back([this, reason] { m_hooks.m_on_failed(reason); });
        expire(work, no_deadline);
    }

    [[nodiscard]] std::string address_of(replica_id id) const
    {
        if (m_options.m_address_of) {
            return m_options.m_address_of(id);
        }
        const auto place = id.value() - 1;
        return place < m_options.m_addresses.size() ? m_options.m_addresses[place] : std::string();
    }

    void carry_out(deferred_work work)
    {
        for (const auto& item : work.m_messages) {
            const auto address = address_of(item.m_to);
            if (!address.empty()) {
                m_hooks.m_send(address, to_wire(item));
            }
        }
        for (const auto& call : work.m_calls) {
            call();
        }
    }

    /// Lets the commands of callers end; new ones are refused from now on.
    void drain()
    {
        const auto give_up_at = steady_now() + m_options.m_answer_limit;
        std::unique_lock lock(m_mutex);
        m_is_draining = true;
        while (!m_must_stop && !m_has_failed && !m_commands.empty() && steady_now() < give_up_at) {
            m_wake.wait_for(lock, m_options.m_tick_span);
        }
    }

    /// Asks another replica to lead and waits until it does, or until the limit.
    void hand_over()
    {
        const auto give_up_at = steady_now() + hand_over_limit;
        std::unique_lock lock(m_mutex);
        bool is_asked = false;
        while (!m_must_stop && !m_has_failed && m_replica.m_role == consensus::role::leader &&
               m_replica.m_peers.size() > 0 && steady_now() < give_up_at) {
            deferred_work work;
            if (!is_asked || !m_replica.m_transfer_to) {
                react(work, consensus::transfer_request{});
                is_asked = true;
            }
            lock.unlock();
            carry_out(std::move(work));
            std::this_thread::sleep_for(m_options.m_tick_span);
            lock.lock();
        }
    }

    runner_options m_options;
    runner_hooks m_hooks;
    std::unique_ptr<storage::replica_storage> m_disk;  ///< used by the syncing thread alone

    mutable std::mutex m_mutex;  ///< guards all below
    std::condition_variable m_wake;
    random_engine m_random;
    consensus::replica m_replica;
    consensus::replicated_state m_state;
    std::map<std::uint64_t, waiting_command> m_commands;
    std::map<std::uint64_t, waiting_read> m_reads;
    std::uint64_t m_last_number = 0;
    std::uint64_t m_last_token = 0;  ///< drawn at the start: answers to an earlier life fit no read
    std::deque<queued_batch> m_queue;
    std::deque<held_message> m_held;
    std::uint64_t m_synced_batch = 0;
    std::uint64_t m_snapshot_index = 0;
    byte_count m_bytes_since_snapshot;
    time_point m_next_read_at{};
    time_point m_confirmed_at{};  ///< begin of the latest read that a majority confirmed
    bool m_is_disk_full = false;
    bool m_has_failed = false;
    bool m_is_draining = false;
    bool m_must_stop = false;

    std::thread m_ticker;
    std::thread m_syncer;
};

std::uint64_t election_seed(std::uint64_t replica, incarnation life, consensus::disk_id disk)
{
    return combine_hash(combine_hash(life.value(), disk.value()), replica);
}

replica_runner::replica_runner(std::unique_ptr<implementation> impl)
    : m_implementation(std::move(impl))
{
}

replica_runner::~replica_runner()
{
    stop();
}

absl::StatusOr<std::unique_ptr<replica_runner>> replica_runner::start(runner_options options,
                                                                      runner_hooks hooks)
{
    require(options.m_address_of ||
                (options.m_replica >= 1 && options.m_replica <= options.m_addresses.size()),
            "a runner's place must be in its list of addresses");
    auto disk = storage::replica_storage::open(options.m_data_folder,
                                               consensus::disk_id(options.m_life.value()));
    if (!disk.ok()) {
        return disk.status();
    }
    auto impl =
        std::make_unique<implementation>(std::move(options), std::move(hooks), *std::move(disk));
    if (auto status = impl->load(); !status.ok()) {
        return status;
    }
    impl->start_threads();
    return std::unique_ptr<replica_runner>(new replica_runner(std::move(impl)));
}

void replica_runner::propose_change(configuration::change wanted,
                                    std::function<void(change_answer)> done)
{
    m_implementation->propose(
        std::move(wanted), [done = std::move(done)](const consensus::command_result* result) {
            done(result != nullptr ? change_answer(std::get<configuration::change_result>(*result))
                                   : change_answer(no_quorum{}));
        });
}

void replica_runner::propose_revision(revisions::revision wanted,
                                      std::function<void(revision_answer)> done)
{
    m_implementation->propose(
        std::move(wanted), [done = std::move(done)](const consensus::command_result* result) {
            done(result != nullptr ? revision_answer(std::get<revisions::revision_result>(*result))
                                   : revision_answer(no_quorum{}));
        });
}

void replica_runner::propose_drain(drains::order wanted, std::function<void(drain_answer)> done)
{
    m_implementation->propose(
        std::move(wanted), [done = std::move(done)](const consensus::command_result* result) {
            done(result != nullptr ? drain_answer(std::get<drains::order_result>(*result))
                                   : drain_answer(no_quorum{}));
        });
}

void replica_runner::propose_claim(claim_request wanted, std::function<void(claim_answer)> done)
{
    m_implementation->propose(m_implementation->to_claim(std::move(wanted)),
                              [done = std::move(done)](const consensus::command_result* result) {
                                  done(result != nullptr
                                           ? claim_answer(std::get<claims::verdict>(*result))
                                           : claim_answer(no_quorum{}));
                              });
}

void replica_runner::report_claim(claim_outcome ended, std::function<void(bool)> done)
{
    m_implementation->propose(m_implementation->to_report(std::move(ended)),
                              [done = std::move(done)](const consensus::command_result* result) {
                                  done(result != nullptr);
                              });
}

void replica_runner::read_index(std::function<void(bool)> done)
{
    m_implementation->read(std::move(done));
}

current_configuration replica_runner::configuration() const
{
    return m_implementation->configuration();
}

revisions::revision_store replica_runner::revision() const
{
    return m_implementation->revision();
}

drains::drain_state replica_runner::drains() const
{
    return m_implementation->drains();
}

void replica_runner::note_replicas(std::vector<consensus::replica_id> known)
{
    m_implementation->note_replicas(std::move(known));
}

log_id replica_runner::log() const
{
    return m_implementation->log();
}

runner_status replica_runner::status() const
{
    return m_implementation->status();
}

void replica_runner::receive(const wire::ConsensusMessage& message)
{
    m_implementation->receive(message);
}

void replica_runner::stop()
{
    m_implementation->stop();
}

}  // namespace dewbeam::control
