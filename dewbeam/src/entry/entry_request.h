/// \file
/// One caller's request inside an entry: its answer, and the attempt that it now owns.
#pragma once

#include <atomic>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "dewbeam.pb.h"
#include "dewbeam/caller"
#include "dewbeam/claims"
#include "dewbeam/dispatch"
#include "dewbeam/http"
#include "dewbeam/ledger"
#include "dewbeam/replies"

namespace dewbeam::entry {

/// What the entry must do after a chunk.
enum class chunk_effect {
    none,       ///< nothing more
    first,      ///< the first byte of an answer went by
    completed,  ///< the whole answer was given to the caller
    not_run,    ///< the attempt was not run
    busy,       ///< the same, since the upstream had no room
    stale,      ///< the same, since the entry's configuration was old
    unknown,    ///< the attempt's end is unknown
    cut,        ///< the answer ended as a whole one and isn't: its upstream broke off
    broken,     ///< a chunk is missing: the attempt must be cancelled, its end is unknown
};

/// The attempt that a request owns now.
struct owned_attempt {
    attempt_id m_id;
    std::string m_agent_address;
    incarnation m_agent;
    time_point m_ack_deadline = no_deadline;        ///< until the agent says that it began
    time_point m_tombstone_deadline = no_deadline;  ///< until the agent answers a tombstone
    time_point m_gap_deadline = no_deadline;        ///< until a missing chunk comes
    bool m_is_acknowledged = false;
};

/// How a request was answered, for metrics and service-level burn.
struct request_result {
    int m_status = 0;
    std::string m_code;         ///< of an error
    time_point m_first_byte{};  ///< epoch: none
    bool m_is_caller_gone = false;
    ledger::outcome m_outcome = ledger::outcome::not_run;
    std::optional<claims::kept_answer> m_answer;  ///< of a claimed request that completed
};

/// The claim of a request with an idempotency key.
struct request_claim {
    claims::claim_key m_key;
    attempt_id m_attempt;
};

/// A request. Thread-safe behind its own mutex; it never calls out with the mutex held, but to
/// the exchange, which only queues.
class entry_request
    : public boost::intrusive_ref_counter<entry_request, boost::thread_safe_counter> {
public:
    /// What is known before the first attempt; constant afterwards.
    struct facts {
        dispatch::ticket m_ticket;
        std::string m_request_id;
        std::string m_pool;
        std::string m_selector;
        std::string m_workspace;
        std::string m_workspace_class;  ///< for service-level burn
        configuration::service_target m_target;
        caller::call m_call;
        http::request m_request;    ///< as it goes to the upstream
        model_id m_caller_model;    ///< as the caller named it
        std::string m_caller_body;  ///< where the selector's model replaced the caller's
        time_point m_arrival{};
        time_point m_deadline = no_deadline;
        bool m_idempotent = true;
        bool m_urgent = false;
        std::optional<request_claim> m_claim;
        bool m_is_claim_granted = false;  ///< by an earlier classification
        bool m_may_have_run = false;      ///< the same
        configuration_version m_configuration;
    };

    entry_request(facts known, std::shared_ptr<http::exchange> answer);

    [[nodiscard]] const facts& known() const { return m_facts; }

    /// The request now owns `attempt`; chunks of earlier ones are dropped from here on. Gives the
    /// message to the agent, or nothing where the request is over.
    /// `newest` is the configuration that the entry knows now.
    std::optional<wire::Dispatch> own(const dispatch::action& action, owned_attempt attempt,
                                      configuration_version newest, time_point now);

    /// Ends this object so that another one can answer the caller in its place, under a newer
    /// configuration. False where part of the answer was delivered, or it is over.
    bool supersede();

    /// Control granted the request's key to it: from now on its end must be reported.
    void set_claim_granted() { m_is_claim_granted = true; }
    [[nodiscard]] bool is_claim_granted() const { return m_is_claim_granted; }

    /// The way to the caller.
    [[nodiscard]] const std::shared_ptr<http::exchange>& answer() const { return m_answer; }

    /// Takes a chunk; delivers to the caller what is in order.
    chunk_effect take(const wire::ReplyChunk& chunk, time_point now);

    /// The agent says that an attempt began.
    void take(const wire::Accepted& message);

    /// Takes the answer to a tombstone; `none` where it is not about the attempt owned now.
    chunk_effect take(const wire::TombstoneReply& reply);

    /// The attempt owned now; id with sequence 0 where there is none.
    [[nodiscard]] owned_attempt attempt() const;

    /// Gives up the attempt, so that nothing of it is delivered any more. False where another
    /// or none is owned. `is_not_run`: it is certain that it never ran.
    bool release(const attempt_id& id, bool is_not_run);

    /// The same for an attempt that may have run, unless the request is over.
    bool release_unanswered(const attempt_id& id);

    /// Whether the agent is late with its acknowledgement; the tombstone is then under way.
    [[nodiscard]] bool begin_tombstone(time_point now);

    /// Whether the agent is late with its answer to the tombstone.
    [[nodiscard]] bool is_tombstone_late(time_point now) const;

    /// Whether a chunk is missing for too long.
    [[nodiscard]] bool is_broken(time_point now) const;

    /// This process was held up for so long: what the agent sent meanwhile may not have been read.
    void put_off_deadlines(time_span held_up, time_point now);

    /// Ends the request with an error, in the way that still fits what the caller has seen.
    void fail(const caller::error& fault);

    /// The caller went away. False where the answer was given already.
    bool set_gone();

    /// Answers with what an earlier run of the same key left, or with what is known of it.
    void respond(http::response whole, ledger::outcome outcome);

    /// Whether some attempt may have run.
    [[nodiscard]] bool may_have_run() const;

    [[nodiscard]] bool is_over() const;
    [[nodiscard]] request_result result() const;

private:
    chunk_effect take_delivery(replies::delivery&& out, time_point now);
    chunk_effect take_end(const replies::delivery& out, const std::string& reason);
    void begin_answer();
    void deliver_events(std::string_view bytes);
    void finish();
    [[nodiscard]] bool is_cut() const;
    [[nodiscard]] bool has_event_stream() const;
    void keep_answer();
    void note_outcome(ledger::outcome known);
    [[nodiscard]] bool streams() const;
    [[nodiscard]] bool resumes_here(const wire::ReplyChunk& chunk) const;
    [[nodiscard]] http::fields answer_fields() const;

    facts m_facts;
    std::shared_ptr<http::exchange> m_answer;
    mutable std::mutex m_mutex;
    owned_attempt m_attempt;
    replies::reply_stream m_stream;
    int m_status = 0;  ///< of the answer's head; 0: none yet
    http::fields m_head;
    std::string m_body;  ///< of a whole answer, until it is complete
    replies::event_splitter m_events;
    std::atomic<bool> m_is_claim_granted = false;
    bool m_is_over = false;
    bool m_may_have_run = false;  ///< some attempt may have begun
    bool m_is_streaming = false;  ///< the caller has the head of a stream
    request_result m_result;
};

using request_pointer = boost::intrusive_ptr<entry_request>;

}  // namespace dewbeam::entry
