/// \file
/// The protocol of callers and upstreams in one kind of installation: header names, paths and
/// formats.
///
/// The gateway decides; a wire format only translates. An installation's format is a struct of
/// plain functions, so that another one can be written without copying any decision.
#pragma once

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/http"
#include "dewbeam/routes"

namespace dewbeam::gateway {

/// A parsed request of a caller.
struct caller_call {
    std::string m_host;
    std::string m_path;                     ///< without the query
    std::string m_request_id;               ///< the caller's ID of this attempt
    std::string m_key;                      ///< proves the workspace; empty: none was sent
    std::optional<time_span> m_time_limit;  ///< how long the caller waits
    std::uint64_t m_last_event = 0;  ///< last event the caller received of a stream it resumes
    token_count m_prompt_tokens;
    token_count m_output_tokens;                ///< upper bound
    std::optional<token_count> m_output_hint;   ///< the caller's estimate, often far off
    std::vector<std::uint64_t> m_prompt_parts;  ///< ids of the prompt's parts, in order
};

/// What the gateway adds to a request on its way to an upstream.
struct forwarding {
    upstream_id m_upstream;    ///< other upstreams refuse the request
    workspace_id m_workspace;  ///< empty: not authenticated
    time_span m_time_left{};
    std::uint32_t m_priority = 0;               ///< 0 is the most urgent
    std::optional<std::uint64_t> m_last_event;  ///< resume the stream after this event
};

/// The parsed head of an upstream's answer.
struct answer_head {
    int m_status = 0;
    std::string m_request_id;          ///< the request it answers; empty: not stated
    bool m_is_not_run = false;         ///< the upstream states that it did not run the request
    bool m_is_other_upstream = false;  ///< another upstream has the address now
    upstream_id m_fault_at;  ///< of a refusal: upstream at fault, e.g. another rank; may be empty
    bool m_is_event_stream = false;
    bool m_is_proven = false;  ///< carries the upstream's proof that it gave this answer
    /// Requests per second that the upstream accepts from all gateways together. Empty if the
    /// answer names no limit, NaN if the limit can't be parsed.
    std::optional<double> m_rate_limit;
    /// How long the upstream, which refused the request with 503, wants no others from this host.
    std::optional<http::retry_after> m_backoff;
    bool m_is_leaving = false;  ///< the upstream states that it is about to exit
};

/// The translation. All functions are pure and thread-safe.
struct wire_format {
    /// Whether the request asks for this process's readiness.
    bool (*m_is_readiness_call)(const http::request& wanted) = nullptr;

    /// Parses a caller's request; the error says what is wrong with it.
    absl::StatusOr<caller_call> (*m_read_call)(const http::request& wanted) = nullptr;

    /// The request as it is sent to an upstream.
    http::request (*m_to_upstream)(const http::request& wanted, const forwarding& added) = nullptr;

    /// Parses the head of an upstream's answer.
    answer_head (*m_read_answer)(int status, const http::fields& head) = nullptr;

    /// The fields of an upstream's answer as they are sent to the caller.
    http::fields (*m_to_caller)(const http::fields& head) = nullptr;

    /// Parses a complete configuration; the error names the field, its value and what is allowed.
    absl::StatusOr<routes::book> (*m_read_book)(std::string_view content) = nullptr;
};

}  // namespace dewbeam::gateway
