/// \file
/// One caller's request inside a gateway: its answer, and the attempt that it now owns.
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
#include "dewbeam/src/gateway/lateness.h"
#include "dewbeam/src/gateway/wire_format.h"

namespace dewbeam::gateway {

/// Number of an attempt inside one request, from 1.
using attempt_number = strong<struct gateway_attempt_tag, std::uint32_t>;

/// How an attempt ended.
struct attempt_outcome {
    dispatch::attempt_end m_end = dispatch::attempt_end::unknown;
    bool m_is_upstream_fault = false;  ///< speaks against the upstream
    bool m_is_other_upstream = false;  ///< the address belongs to another upstream now
    const char* m_reason = "";         ///< field term for logs
    bool m_is_group_fault = false;     ///< its whole group can't serve, by another rank's fault
    answer_end m_answer{};
};

/// An attempt, where it was sent and when.
struct sent_attempt {
    upstream_id m_upstream;
    incarnation m_incarnation;
    attempt_number m_number;
    time_point m_sent_at{};
    std::uint32_t m_order = 0;  ///< that the upstream's death would have; see quarantine::death
};

/// An attempt that begins.
struct attempt_start {
    attempt_number m_number;
    forwarding m_forwarding;
};

/// How a request was answered, for logs and metrics.
struct request_end {
    int m_status = 0;         ///< 0: the caller got nothing
    const char* m_code = "";  ///< of an own error
    answer_times m_times;
    late_reason m_late = late_reason::none;
    bool m_is_caller_gone = false;
    bool m_is_cut = false;  ///< part of the answer was delivered, the rest was not
    answer_end m_answer;    ///< of the last attempt that ended
};

/// What bytes of an answer brought to the caller.
enum class data_result { nothing, first_event, next_event };

/// An error of the gateway's own.
struct own_error {
    int m_status = 503;
    const char* m_code = "";                      ///< stable, for programs
    const char* m_message = "";                   ///< for a person
    time_span m_retry_after = time_span::zero();  ///< zero: no advice
};

/// The response for an own error, with `Retry-After` in seconds and a fraction.
http::response to_response(const own_error& fault, std::string_view request_id);

/// A request. Thread-safe behind its own mutex; with the mutex held it calls only the exchanges,
/// which do no more than queue.
class gateway_request
    : public boost::intrusive_ref_counter<gateway_request, boost::thread_safe_counter> {
public:
    /// What is known before the first attempt; constant afterwards.
    struct facts {
        dispatch::ticket m_ticket;
        std::string m_request_id;
        std::string m_pool;
        std::shared_ptr<const routes::book> m_book;  ///< keeps the route
        const routes::route* m_route = nullptr;
        workspace_id m_workspace;
        std::uint32_t m_priority = 0;
        fingerprint m_content;  ///< the same for each copy of the request
        caller_call m_call;
        http::request m_request;
        time_point m_arrival{};
        time_point m_deadline{};
    };

    gateway_request(facts known, std::shared_ptr<http::exchange> answer);

    [[nodiscard]] const facts& known() const { return m_facts; }

    /// Begins an attempt at an upstream; nothing where the request is over.
    std::optional<attempt_start> begin(const upstream_id& upstream, incarnation life,
                                       std::uint32_t order, time_point now);

    /// The exchange of an attempt that began; cancelled at once where the attempt is over.
    void attach(attempt_number attempt, std::shared_ptr<http::client_exchange> exchange);

    /// The head of an answer; false where it must not be used, so that the attempt ends.
    bool take_head(attempt_number attempt, const wire_format& format, answer_head head,
                   const http::fields& fields, time_point now);

    /// Bytes of an answer.
    data_result take_data(attempt_number attempt, std::string bytes, time_point now);

    /// The end of an attempt's exchange; nothing where the attempt is not the one owned now.
    std::optional<attempt_outcome> take_end(attempt_number attempt, const absl::Status& result,
                                            http::progress how_far);

    /// Gives the attempt up, so that nothing of it is delivered any more; its exchange is
    /// cancelled. False where another or none is owned.
    bool abandon(attempt_number attempt);

    /// The attempt owned now; nothing where there is none.
    [[nodiscard]] std::optional<attempt_number> attempt() const;

    /// True once for each attempt: its upstream's silence is to be looked into.
    bool note_lateness();

    /// The attempt owned now, where its upstream has not begun to answer.
    [[nodiscard]] std::optional<sent_attempt> unanswered_attempt() const;

    /// The upstream of the attempt owned now; empty where there is none.
    [[nodiscard]] upstream_id upstream() const;

    /// Ends the request with an error, in the way that fits what the caller has: an answer, an
    /// upstream's own failure where one was kept, or a visible cut.
    void fail(const own_error& fault);

    /// The caller went away. False where the request was over.
    bool set_gone();

    [[nodiscard]] bool is_over() const;

    /// Whether some attempt may have run.
    [[nodiscard]] bool may_have_run() const;

    [[nodiscard]] request_end result() const;

private:
    struct kept_failure {
        int m_status = 0;
        http::fields m_fields;
        std::string m_body;
    };

    attempt_outcome judge_end(const absl::Status& result, http::progress how_far);
    attempt_outcome judge();
    attempt_outcome judge_failure();
    void deliver(std::string events);
    /// Why a stream whose connection ended well is broken all the same; null where it is whole.
    [[nodiscard]] const char* break_of_stream() const;
    void finish_stream();
    void respond_whole();
    void drop_attempt();

    facts m_facts;
    std::shared_ptr<http::exchange> m_answer;
    mutable std::mutex m_mutex;
    std::uint32_t m_attempts = 0;
    bool m_has_attempt = false;
    upstream_id m_upstream;
    incarnation m_life;                ///< of that upstream
    std::uint32_t m_order = 0;         ///< of the attempt
    std::uint32_t m_late_attempt = 0;  ///< the last one that was found late
    std::shared_ptr<http::client_exchange> m_exchange;
    answer_head m_head;
    http::body_frame m_frame = http::body_frame::length;  ///< of the answer with that head
    http::fields m_fields;  ///< of the answer, as the caller gets them
    std::string m_body;     ///< of an answer that is not a stream
    replies::event_splitter m_events;
    bool m_is_streaming = false;  ///< the caller has the head of a stream
    std::optional<kept_failure> m_failure;
    bool m_is_over = false;
    bool m_may_have_run = false;
    time_point m_last_sent{};         ///< when the last attempt began
    bool m_has_events_of_it = false;  ///< the last attempt has brought some
    request_end m_result;
};

using request_pointer = boost::intrusive_ptr<gateway_request>;

}  // namespace dewbeam::gateway
