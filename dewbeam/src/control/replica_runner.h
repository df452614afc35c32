/// \file
/// Runs one replica of the log: its disk, its state machine, its timers and its callers.
#pragma once

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "dewbeam.pb.h"
#include "dewbeam/consensus"

namespace dewbeam::control {

/// What a runner needs to know at start.
struct runner_options {
    std::string m_data_folder;
    std::vector<std::string> m_addresses;  ///< link addresses of all replicas, from replica 1 on
    std::uint64_t m_replica = 1;           ///< this host's id; with `m_addresses` its place there
    /// Where `m_addresses` is empty: the ids of the first members, and the address of an id.
    std::vector<consensus::replica_id> m_seeds{};
    std::function<std::string(consensus::replica_id)> m_address_of{};
    incarnation m_life;                        ///< of this process; names a new disk too
    consensus::replica_options m_consensus{};  ///< `m_seeds` is filled in from the addresses
    time_span m_answer_limit = std::chrono::seconds(2);  ///< then a caller hears `no_quorum`
    time_span m_claim_retention = std::chrono::hours(24);
    time_span m_tick_span = std::chrono::milliseconds(10);  ///< how exact the replica's timers are
    std::size_t m_snapshot_entries = 4'096;                 ///< applied since the last snapshot
    byte_count m_snapshot_bytes{8L * 1024 * 1024};
};

/// What a runner calls. All are called without a lock held, from any of its threads.
struct runner_hooks {
    /// Sends to the replica at a link address; a loss is made good by the protocol.
    std::function<void(const std::string& address, wire::ConsensusMessage&&)> m_send;
    /// A newer configuration, revision or drain is in force: read it by `configuration`, `revision`
    /// or `drains`.
    std::function<void()> m_on_configuration;
    /// The disk failed or contradicts the log: this replica does nothing any more.
    std::function<void(const std::string& reason)> m_on_failed;
};

/// No majority answered in time. A change may still be accepted later: a resend under the same id
/// tells. A claim was withdrawn: it will not be granted any more.
struct no_quorum {};

/// Whether a document that an operator sent is in force, or why not.
using revision_answer = std::variant<revisions::revision_result, no_quorum>;

/// Whether an order to drain a failure domain is in force, or why not.
using drain_answer = std::variant<drains::order_result, no_quorum>;

using change_answer = std::variant<configuration::change_result, no_quorum>;
using claim_answer = std::variant<claims::verdict, no_quorum>;

/// A claim as the entry asks for it.
struct claim_request {
    claims::claim_key m_key;
    attempt_id m_attempt;
    host_id m_agent;
    fingerprint m_fingerprint;
};

/// How a claimed attempt ended.
struct claim_outcome {
    claims::claim_key m_key;
    attempt_id m_attempt;
    ledger::outcome m_outcome = ledger::outcome::unknown;
    std::optional<claims::kept_answer> m_answer;
};

/// The configuration in force on this host.
struct current_configuration {
    configuration_version m_version;
    std::uint64_t m_number = 0;
    nlohmann::json m_source;
};

/// What an operator wants to know of a replica.
struct runner_status {
    std::uint64_t m_replica = 0;
    std::uint64_t m_leader = 0;  ///< 0: none is known
    bool m_has_quorum = false;   ///< heard from a majority, or from a leader, lately
    bool m_is_voter = false;
    bool m_is_caught_up = false;  ///< confirmed by a majority since the start
    /// Everything that was acknowledged before this time, by `program::now`, is held;
    /// `time_point{}`: not confirmed yet.
    time_point m_confirmed_at{};
    bool m_is_disk_full = false;
    bool m_has_failed = false;
    std::uint64_t m_term = 0;
    std::uint64_t m_commit = 0;
    std::uint64_t m_applied = 0;
    std::vector<consensus::member> m_members;
    std::size_t m_claims = 0;
    byte_count m_kept_answers;
};

/// Seed of a replica's random draws, which spread the election timeouts. It differs between
/// replicas that start together, and between the lives of one: replicas with equal draws ask for
/// each other's votes at the same moments and never elect a leader.
std::uint64_t election_seed(std::uint64_t replica, incarnation life, consensus::disk_id disk);

/// One replica at work. Thread-safe.
///
/// A call never blocks for a disk or a majority: its callback is called exactly once, at the
/// latest when the answer limit is over. A proposal is sent again until then, so that a change of
/// leader in between is not seen by callers.
class replica_runner {
public:
    /// Opens the data folder and starts the threads.
    static absl::StatusOr<std::unique_ptr<replica_runner>> start(runner_options options,
                                                                 runner_hooks hooks);

    /// Stops as `stop` does.
    ~replica_runner();
    replica_runner(const replica_runner&) = delete;
    replica_runner& operator=(const replica_runner&) = delete;
    replica_runner(replica_runner&&) = delete;
    replica_runner& operator=(replica_runner&&) = delete;

    /// Proposes a change of the configuration.
    void propose_change(configuration::change wanted, std::function<void(change_answer)> done);

    /// Proposes a whole configuration under the operator's number.
    void propose_revision(revisions::revision wanted, std::function<void(revision_answer)> done);

    /// Proposes an order to drain a failure domain, or to withdraw that.
    void propose_drain(drains::order wanted, std::function<void(drain_answer)> done);

    /// Claims an idempotency key; `granted` is safe to act on.
    void propose_claim(claim_request wanted, std::function<void(claim_answer)> done);

    /// Reports how a claimed attempt ended; false: no majority answered, so report again.
    void report_claim(claim_outcome ended, std::function<void(bool)> done);

    /// Calls back with true once this host holds everything that was acknowledged before the call.
    void read_index(std::function<void(bool)> done);

    /// What is in force here; never older than what an earlier call gave.
    [[nodiscard]] current_configuration configuration() const;

    /// The document with the highest number here; never older than what an earlier call gave.
    [[nodiscard]] revisions::revision_store revision() const;

    /// The drained failure domains; never older than what an earlier call gave.
    [[nodiscard]] drains::drain_state drains() const;

    /// Replicas that were heard of in other ways.
    void note_replicas(std::vector<consensus::replica_id> known);

    [[nodiscard]] runner_status status() const;

    /// The identity of the log; 0 until this replica belongs to one.
    [[nodiscard]] log_id log() const;

    /// Takes a message of another replica, as it came from the link.
    void receive(const wire::ConsensusMessage& message);

    /// Hands leadership over, writes what waits, answers callers and ends the threads.
    void stop();

private:
    class implementation;
    explicit replica_runner(std::unique_ptr<implementation> impl);
    std::unique_ptr<implementation> m_implementation;
};

}  // namespace dewbeam::control
