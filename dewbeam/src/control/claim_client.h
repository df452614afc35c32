/// \file
/// An entry's claims of idempotency keys at the control hosts.
#pragma once

#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "dewbeam/claims"
#include "dewbeam/link"

namespace dewbeam::control {

/// What an entry learns of a key.
struct claim_reply {
    wire::ClaimReply::Decision m_decision = wire::ClaimReply::DECISION_NO_QUORUM;
    attempt_id m_holder;                          ///< the attempt that has or had the key
    std::optional<claims::kept_answer> m_answer;  ///< of a finished one, where still held
};

/// Called once for each claim, on the thread that brought the answer.
using claim_handler = std::function<void(const claim_reply&)>;

/// Sends claims and results, to the next control host where one does not answer. Thread-safe.
///
/// A claim without an answer in time gives `DECISION_NO_QUORUM`, and is reported as not run, so
/// that it can't hold the key. Results are sent again until control has recorded them.
class claim_client {
public:
    explicit claim_client(std::vector<std::string> controls);

    /// Asks for a key. `attempt` must never have been dispatched.
    void claim(link::node& node, const claims::claim_key& key, const attempt_id& attempt,
               fingerprint content, claim_handler done, time_point now);

    /// Says how a claimed attempt ended.
    void report(link::node& node, wire::ClaimResult result, time_point now);

    /// `hears_quorum`: a majority of control can be heard from here, so that another control host
    /// may grant what this one could not.
    void take(link::node& node, const wire::ClaimReply& reply, bool hears_quorum, time_point now);
    void take(const wire::ClaimResultReply& reply);

    /// Asks again, and gives up, where it is time.
    void tick(link::node& node, time_point now);

    /// A control host was lost: what waits for it is asked of the next one.
    void peer_lost(link::node& node, const std::string& address);

    /// Results that control has not recorded yet; a planned stop waits for them.
    [[nodiscard]] std::size_t unrecorded() const;

private:
    struct pending_claim {
        wire::ClaimRequest m_request;
        claim_handler m_done;
        std::size_t m_refusals = 0;  ///< control hosts that have no majority
        time_point m_ask_again_at{};
        time_point m_deadline{};
    };
    struct pending_result {
        wire::ClaimResult m_result;
        time_point m_send_again_at{};
    };

    std::string next_control();
    void send(link::node& node, const wire::ClaimRequest& request);
    void send(link::node& node, const wire::ClaimResult& result);

    std::vector<std::string> m_controls;
    mutable std::mutex m_mutex;
    std::size_t m_in_use = 0;
    std::uint64_t m_last_request = 0;
    std::map<std::uint64_t, pending_claim> m_claims;
    std::map<std::uint64_t, pending_result> m_results;
};

}  // namespace dewbeam::control
