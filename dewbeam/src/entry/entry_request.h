/// \file
/// One caller's request inside an entry: its answer and its current attempt.
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

/// What the entry must do after a chunk or a reply to a tombstone.
enum class chunk_effect {
    none,       ///< nothing more
    first,      ///< the answer started
    completed,  ///< the complete answer was delivered to the caller
    not_run,    ///< the attempt was not run
    busy,       ///< not run, because the upstream had no free capacity
    stale,      ///< not run, because the entry's configuration was out of date
    unknown,    ///< how the attempt ended is unknown
    truncated,  ///< marked complete, but ends inside an event or before the stream's end
    broken,     ///< inconsistent or too large: cancel the attempt; how it ended is unknown
};

/// The current attempt of a request.
struct owned_attempt {
    attempt_id m_id;
    std::string m_agent_address;
    incarnation m_agent;
    time_point m_ack_deadline = no_deadline;        ///< for the agent's acknowledgement
    time_point m_tombstone_deadline = no_deadline;  ///< for the agent's reply to a tombstone
    time_point m_gap_deadline = no_deadline;        ///< for a missing chunk to arrive
    bool m_is_acknowledged = false;
};

/// How a request was answered, for metrics, service-level burn and claims.
struct request_result {
    int m_status = 0;
    std::string m_code;         ///< of the error; empty if there was none
    time_point m_first_byte{};  ///< epoch if there was none
    bool m_is_caller_disconnected = false;
    ledger::outcome m_outcome = ledger::outcome::not_run;
    /// Of a claimed request that completed, unless it is too large to store.
    std::optional<claims::kept_answer> m_answer;
};

/// The claim of a request with an idempotency key.
struct request_claim {
    claims::claim_key m_key;
    attempt_id m_attempt;
};

/// A request. Thread-safe. While it holds its mutex it calls nothing outside except the HTTP
/// exchange, which only queues.
class entry_request
    : public boost::intrusive_ref_counter<entry_request, boost::thread_safe_counter> {
public:
    /// What is known before the first attempt. Constant afterwards.
    struct facts {
        dispatch::ticket m_ticket;
        std::string m_request_id;
        std::string m_pool;
        std::string m_selector;
        std::string m_workspace;
        std::string m_workspace_class;  ///< for service-level burn
        configuration::service_target m_target;
        caller::call m_call;
        http::request m_request;    ///< as it is sent to the upstream
        model_id m_caller_model;    ///< as sent by the caller
        std::string m_caller_body;  ///< original body, if the selector replaced the model in it
        time_point m_arrival{};
        time_point m_deadline = no_deadline;
        bool m_idempotent = true;
        bool m_urgent = false;
        std::optional<request_claim> m_claim;
        bool m_is_claim_granted = false;  ///< by an earlier classification
        bool m_may_have_run = false;      ///< under an earlier classification
        configuration_version m_configuration;
    };

    entry_request(facts known, std::shared_ptr<http::exchange> answer,
                  std::shared_ptr<replies::answer_budget> budget);

    [[nodiscard]] const facts& known() const { return m_facts; }

    /// Makes `attempt` the current one; chunks of earlier attempts are dropped from now on. Returns
    /// the message for the agent, or nothing if the request is over or its stream can't be resumed.
    /// `newest` is the entry's current configuration.
    std::optional<wire::Dispatch> assign_attempt(const dispatch::action& action,
                                                 owned_attempt attempt,
                                                 configuration_version newest, time_point now);

    /// Ends this object so that another one, classified under a newer configuration, can answer the
    /// caller instead. Returns false if part of the answer was delivered or the request is over.
    bool supersede();

    /// Records that control granted the request's claim: its end must now be reported.
    void set_claim_granted() { m_is_claim_granted = true; }
    [[nodiscard]] bool is_claim_granted() const { return m_is_claim_granted; }

    /// The HTTP exchange with the caller.
    [[nodiscard]] const std::shared_ptr<http::exchange>& answer() const { return m_answer; }

    /// Handles a chunk and delivers to the caller what is in order.
    chunk_effect handle(const wire::ReplyChunk& chunk, time_point now);

    /// Handles the agent's acknowledgement that it accepted an attempt.
    void handle(const wire::Accepted& message);

    /// Handles the reply to a tombstone. Returns `none` if it is not about the current attempt, or
    /// if the agent has acknowledged the attempt and doesn't know its end.
    chunk_effect handle(const wire::TombstoneReply& reply);

    /// The current attempt; its id has sequence 0 if there is none.
    [[nodiscard]] owned_attempt attempt() const;

    /// Drops the attempt, so that nothing of it is delivered any more. Returns false if it is not
    /// the current attempt. `is_not_run`: it is certain that the attempt never ran.
    bool release(const attempt_id& id, bool is_not_run);

    /// Drops an attempt that may have run. Returns false also if the request is over.
    bool release_unless_over(const attempt_id& id);

    /// Whether the agent's acknowledgement is overdue. If so, starts the timeout of a tombstone,
    /// which the caller of this function must send.
    [[nodiscard]] bool begin_tombstone(time_point now);

    /// Whether the agent's reply to the tombstone is overdue.
    [[nodiscard]] bool is_tombstone_late(time_point now) const;

    /// Whether a chunk has been missing for too long.
    [[nodiscard]] bool is_gap_expired(time_point now) const;

    /// Extends the attempt's deadlines by the time for which this process's event loop was delayed,
    /// since messages that the agent sent meanwhile may not have been read.
    void extend_attempt_deadlines(time_span held_up, time_point now);

    /// Ends the request with an error response, or with an error event and an abort if the caller
    /// already has part of a stream.
    void fail(const caller::error& fault);

    /// Records that the caller disconnected. Returns false if the request is already over.
    bool set_caller_disconnected();

    /// Answers with a complete response, such as the stored answer of an earlier run of the same
    /// key.
    void respond(http::response whole, ledger::outcome outcome);

    /// Whether some attempt may have run.
    [[nodiscard]] bool may_have_run() const;

    [[nodiscard]] bool is_over() const;
    [[nodiscard]] request_result result() const;

private:
    chunk_effect handle_delivery(replies::delivery&& out, time_point now);
    chunk_effect handle_attempt_end(const replies::delivery& out, const std::string& reason);
    void begin_answer();
    void deliver_events(std::string_view bytes);
    void finish();
    [[nodiscard]] bool is_answer_truncated() const;
    [[nodiscard]] bool has_event_stream() const;
    void store_answer();
    void record_run_outcome(ledger::outcome known);
    void drop_received();
    bool update_budget();
    [[nodiscard]] bool streams() const;
    [[nodiscard]] bool resumes_at_sent_offset(const wire::ReplyChunk& chunk) const;
    [[nodiscard]] http::fields answer_fields() const;

    facts m_facts;
    std::shared_ptr<http::exchange> m_answer;
    mutable std::mutex m_mutex;
    owned_attempt m_attempt;
    replies::reply_stream m_stream;
    int m_status = 0;  ///< of the answer's head; 0 before it arrives
    http::fields m_head;
    std::string m_body;  ///< buffered non-streamed answer
    replies::event_splitter m_events;
    replies::budget_share m_budget_share;
    std::atomic<bool> m_is_claim_granted = false;
    bool m_is_over = false;
    bool m_may_have_run = false;  ///< some released attempt may have run
    bool m_is_streaming = false;  ///< the head of a stream was delivered to the caller
    request_result m_result;
};

using request_pointer = boost::intrusive_ptr<entry_request>;

}  // namespace dewbeam::entry
