/// \file
/// Claims of idempotency keys as a replicated state machine, applied in log order.
///
/// A key is granted to one attempt. Another attempt gets it only after the first was reported as
/// not run. All replicas decide alike: time comes from the entries, and no limit is a setting.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dewbeam/ledger"

namespace dewbeam::claims {

/// Hash of a workspace and its idempotency key.
using claim_key = strong<struct claim_key_tag, std::string>;

/// One header of a kept answer.
struct answer_header {
    std::string m_name;
    std::string m_value;

    friend bool operator==(const answer_header&, const answer_header&) = default;
};

/// An answer that is kept for resends.
struct kept_answer {
    std::uint32_t m_status = 0;
    std::vector<answer_header> m_headers;
    std::string m_body;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

/// Names one call that asked for a key; the same attempt may be claimed by several calls.
struct proposal_id {
    std::uint64_t m_origin = 0;  ///< replica
    incarnation m_life;          ///< of the replica's process
    std::uint64_t m_number = 0;

    friend auto operator<=>(const proposal_id&, const proposal_id&) = default;
};

/// Asks for a key before the dispatch.
struct claim {
    proposal_id m_proposal;
    claim_key m_key;
    attempt_id m_attempt;
    host_id m_agent;
    fingerprint m_fingerprint;  ///< of the request's content
    time_point m_time{};        ///< wall clock of the proposer
    time_point m_forget_at{};   ///< on the same clock
};

/// Says how a claimed attempt ended.
struct claim_report {
    claim_key m_key;
    attempt_id m_attempt;
    ledger::outcome m_outcome = ledger::outcome::unknown;
    std::optional<kept_answer> m_answer;  ///< of a completed attempt
    time_point m_time{};
    time_point m_forget_at{};
    /// Set where a call was given up: `not_run` then holds only if no other call was granted.
    std::optional<proposal_id> m_withdraws;
};

/// What a claim gets.
enum class decision {
    granted,    ///< run it
    running,    ///< another attempt has it and hasn't ended
    finished,   ///< it ran; the answer is there if it is still held
    unknown,    ///< it ran or may have run; never run it again
    mismatch,   ///< the key was claimed for another content
    withdrawn,  ///< this very attempt was reported as not run before
    full,       ///< no room: refused, not run
};

/// Field term of a decision for logs and replies.
const char* to_string(decision value);

/// The answer to a claim.
struct verdict {
    decision m_decision = decision::granted;
    attempt_id m_attempt;                 ///< that has or had the key
    host_id m_agent;                      ///< where it was sent
    std::optional<kept_answer> m_answer;  ///< of `finished`, where still held

    friend bool operator==(const verdict&, const verdict&) = default;
};

/// What became of a key.
enum class claim_state { running, finished, unknown, released };

/// One key.
struct claim_record {
    claim_state m_state = claim_state::running;
    attempt_id m_attempt;
    host_id m_agent;
    fingerprint m_fingerprint;
    proposal_id m_proposal;    ///< the call that was granted first
    bool m_is_shared = false;  ///< another call of the same attempt was granted too
    time_point m_forget_at{};
    std::vector<attempt_id>
        m_released;  ///< attempts that were reported as not run, the newest last
    std::optional<kept_answer> m_answer;

    friend bool operator==(const claim_record&, const claim_record&) = default;
};

/// When a key is forgotten.
struct claim_expiry {
    time_point m_at{};
    claim_key m_key;

    friend auto operator<=>(const claim_expiry&, const claim_expiry&) = default;
};

/// All claims.
struct table {
    time_point m_time{};  ///< greatest time of any entry; never goes back
    std::map<claim_key, claim_record> m_claims;
    std::set<claim_expiry> m_expiries;
    std::deque<claim_key> m_answers;  ///< keys with a kept answer, the oldest first
    byte_count m_answer_bytes;

    friend bool operator==(const table&, const table&) = default;
};

/// A larger answer is not kept; the claim is.
inline constexpr byte_count most_answer_bytes{64L * 1024};
/// Beyond this the oldest answers go; their claims stay until their time is over.
inline constexpr byte_count most_kept_bytes{16L * 1024 * 1024};
/// Beyond this a new key is refused.
inline constexpr std::size_t most_claims = 1'000'000;
/// Released attempts that a key remembers.
inline constexpr std::size_t most_released = 8;

/// Applies a claim.
verdict apply(table& state, const claim& wanted);

/// Applies a report; one that comes late or twice changes nothing.
void apply(table& state, const claim_report& report);

/// What the key's record says now, without a claim; none where the key is free.
std::optional<verdict> look_up(const table& state, const claim_key& key);

/// Size that an answer counts for.
byte_count size_of(const kept_answer& answer);

/// Puts a record of a snapshot into an empty table. Answers follow, the oldest first.
void restore(table& state, const claim_key& key, claim_record record);
void restore_answer(table& state, const claim_key& key, kept_answer answer);

}  // namespace dewbeam::claims
