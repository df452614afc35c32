/// \file
/// One caller's request inside a gateway: its answer and its current attempt.
#pragma once

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include "dewbeam/dispatch"
#include "dewbeam/http"
#include "dewbeam/replies"
#include "dewbeam/routes"
#include "dewbeam/src/gateway/answer_end.h"
#include "dewbeam/src/gateway/answer_limits.h"
#include "dewbeam/src/gateway/lateness.h"
#include "dewbeam/src/gateway/lost_attempt_tracker.h"
#include "dewbeam/src/gateway/wire_format.h"

namespace dewbeam::gateway {

/// Number of an attempt within one request, starting at 1.
using attempt_number = strong<struct gateway_attempt_tag, std::uint32_t>;

/// How an attempt ended.
struct attempt_outcome {
    dispatch::attempt_end m_end = dispatch::attempt_end::unknown;
    bool m_is_upstream_fault = false;  ///< counts as a failure of the upstream
    bool m_is_other_upstream = false;  ///< the address belongs to another upstream now
    const char* m_reason = "";         ///< name in logs and metrics
    bool m_is_group_fault = false;     ///< the whole group can't serve because another rank failed
    answer_end m_answer{};
    std::optional<time_point> m_writing_since{};  ///< when the answer began; empty: it had not
};

/// An attempt, with the upstream it was sent to and when.
struct sent_attempt {
    upstream_id m_upstream;
    incarnation m_incarnation;
    attempt_number m_number;
    time_point m_sent_at{};
    std::uint32_t m_order = 0;  ///< of a crash report; see `quarantine::crash_report`
    std::shared_ptr<const std::vector<part_evidence>> m_parts{};  ///< null: the prompt has none
};

/// An attempt that starts.
struct attempt_start {
    attempt_number m_number;
    forwarding m_forwarding;
    const char* m_last_end = "";  ///< why the attempt before ended; empty for the first one
};

/// How a request was answered, for logs and metrics.
struct request_end {
    int m_status = 0;         ///< 0: the caller got nothing
    const char* m_code = "";  ///< of an error of the gateway itself
    answer_times m_times;
    late_reason m_late = late_reason::none;
    bool m_is_caller_disconnected = false;
    bool m_is_cut = false;  ///< part of the answer was delivered, the rest was not
    answer_end m_answer;    ///< of the last attempt that ended
};

/// What the received bytes of an answer delivered to the caller.
enum class data_result {
    nothing,
    first_event,
    next_event,
    too_large,  ///< the answer exceeds its limits; the caller then ends the attempt
};

/// An error of the gateway itself.
struct gateway_error {
    int m_status = 503;
    const char* m_code = "";                      ///< stable, machine-readable
    const char* m_message = "";                   ///< human-readable
    time_span m_retry_after = time_span::zero();  ///< zero: no Retry-After
};

/// The response for an error of the gateway itself, with `Retry-After` in seconds with decimals.
http::response to_response(const gateway_error& fault, std::string_view request_id);

/// A request. Thread-safe, guarded by its own mutex. While it holds the mutex it calls only the
/// exchanges, which merely queue the work.
class gateway_request
    : public boost::intrusive_ref_counter<gateway_request, boost::thread_safe_counter> {
public:
    /// Facts that are set before the first attempt and constant afterwards.
    struct facts {
        dispatch::ticket m_ticket;
        std::string m_request_id;
        std::string m_pool;
        std::shared_ptr<const routes::book> m_book;  ///< keeps `m_route` valid
        const routes::route* m_route = nullptr;
        workspace_id m_workspace;
        std::uint32_t m_priority = 0;
        fingerprint m_content;             ///< identical for all copies of the request
        std::vector<fingerprint> m_parts;  ///< keys of the prompt's parts, the last one left out
        caller_call m_call;
        http::request m_request;
        time_point m_arrival{};
        time_point m_deadline{};
    };

    /// `limits` must outlive the request.
    gateway_request(facts known, std::shared_ptr<http::exchange> answer, answer_limits& limits);
    gateway_request(const gateway_request&) = delete;
    gateway_request& operator=(const gateway_request&) = delete;
    gateway_request(gateway_request&&) = delete;
    gateway_request& operator=(gateway_request&&) = delete;
    ~gateway_request() = default;

    [[nodiscard]] const facts& known() const { return m_facts; }

    /// Connections on which attempts were sent. Answers to two of them can't be told apart: both
    /// name the request.
    [[nodiscard]] const std::shared_ptr<http::connection_history>& connections() const
    {
        return m_connections;
    }

    /// Starts an attempt at an upstream; empty if the request has ended.
    std::optional<attempt_start> begin(const upstream_id& upstream, incarnation target_incarnation,
                                       std::uint32_t order, time_point now);

    /// Sets the exchange of a started attempt. Cancels it immediately if the attempt has ended.
    void attach(attempt_number attempt, std::shared_ptr<http::client_exchange> exchange);

    /// Handles the head of an answer. Returns false if the answer must not be used; the caller then
    /// ends the attempt.
    bool receive_head(attempt_number attempt, const wire_format& format, answer_head head,
                      const http::fields& fields, time_point now);

    /// Handles received bytes of an answer.
    data_result receive_data(attempt_number attempt, std::string bytes, time_point now);

    /// Records why the last attempt ended, for the log of its retry. `reason` is a literal.
    void note_attempt_end(const char* reason);

    /// Handles the end of an attempt's exchange. Empty if the attempt is not the current one.
    std::optional<attempt_outcome> receive_end(attempt_number attempt, const absl::Status& result,
                                               http::progress how_far);

    /// When the current attempt's answer began; empty if it has not, or if this isn't the attempt.
    [[nodiscard]] std::optional<time_point> writing_since(attempt_number attempt) const;

    /// Records that the run of the current attempt counts as good. Returns true only the first time
    /// for each attempt.
    bool note_good_run(attempt_number attempt);

    /// Gives the attempt up: nothing more of it is delivered, and its exchange is cancelled.
    /// Returns false if the attempt is not the current one.
    bool abandon(attempt_number attempt);

    /// The current attempt; empty if there is none.
    [[nodiscard]] std::optional<attempt_number> attempt() const;

    /// The current attempt, if its stream has had no event until its silence deadline.
    [[nodiscard]] std::optional<attempt_number> silent_attempt(time_point now) const;

    /// Records that the current attempt is late. Returns true only the first time for each attempt,
    /// so that its unresponsive upstream is checked once.
    bool note_lateness();

    /// The current attempt, if its upstream has not started to answer; otherwise empty.
    [[nodiscard]] std::optional<sent_attempt> unanswered_attempt() const;

    /// The last attempt, which may have ended.
    [[nodiscard]] sent_attempt last_attempt() const;

    /// Whether the last attempt's upstream had started to answer.
    [[nodiscard]] bool was_answered() const;

    /// The upstream of the current attempt; empty if there is none.
    [[nodiscard]] upstream_id upstream() const;

    /// Ends the request with an error. If part of a stream was delivered, the stream is aborted, so
    /// that the caller sees the truncation. Otherwise the caller gets the stored failure answer of
    /// an upstream, or `fault` if there is none.
    void fail(const gateway_error& fault);

    /// Ends the request because the caller disconnected. Returns false if it had already ended.
    bool mark_disconnected();

    [[nodiscard]] bool is_over() const;

    /// Whether an attempt may have run.
    [[nodiscard]] bool may_have_run() const;

    [[nodiscard]] request_end result() const;

private:
    struct stored_failure {
        int m_status = 0;
        http::fields m_fields;
        std::string m_body;
    };

    attempt_outcome judge_end(const absl::Status& result, http::progress how_far);
    attempt_outcome judge();
    attempt_outcome judge_failure();
    void deliver(std::string events);
    /// Takes what the answer holds from the budget, or gives back what it no longer holds. Returns
    /// false if the budget is exhausted.
    bool update_budget();
    void drop_received();
    /// Why a stream is incomplete although its connection ended normally; null if it is complete.
    [[nodiscard]] const char* stream_truncation() const;
    void finish_stream();
    void respond_complete();
    void drop_attempt();
    [[nodiscard]] sent_attempt last_sent() const;

    facts m_facts;
    const std::shared_ptr<http::connection_history> m_connections =
        std::make_shared<http::connection_history>();
    std::shared_ptr<http::exchange> m_answer;
    answer_limits& m_limits;
    replies::budget_share m_budget_share;
    mutable std::mutex m_mutex;
    std::uint32_t m_attempts = 0;
    bool m_has_attempt = false;
    upstream_id m_upstream;
    incarnation m_upstream_incarnation;  ///< of `m_upstream`
    std::uint32_t m_order = 0;           ///< of the attempt
    std::uint32_t m_late_attempt = 0;    ///< the last attempt that was found late
    std::shared_ptr<http::client_exchange> m_exchange;
    answer_head m_head;
    http::body_frame m_frame = http::body_frame::length;  ///< of the answer with `m_head`
    http::fields m_fields;                                ///< of the answer, as sent to the caller
    std::string m_body;                                   ///< of an answer that is not a stream
    replies::event_splitter m_events;
    time_point m_silence_deadline = no_deadline;  ///< of a stream, for its next event
    bool m_is_streaming = false;                  ///< the head of a stream was sent to the caller
    std::optional<stored_failure> m_failure;
    bool m_is_over = false;
    bool m_may_have_run = false;
    time_point m_last_sent{};                   ///< when the last attempt was sent
    bool m_attempt_has_events = false;          ///< the last attempt has delivered events
    std::optional<time_point> m_writing_since;  ///< when the answer of the last attempt began
    std::uint32_t m_good_attempt = 0;           ///< the last attempt whose run counts as good
    const char* m_last_end = "";                ///< why the last attempt that ended did
    request_end m_result;
};

using request_pointer = boost::intrusive_ptr<gateway_request>;

}  // namespace dewbeam::gateway
