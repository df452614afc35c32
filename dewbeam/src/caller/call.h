/// \file
/// Reads a caller's HTTP request into what the decisions need.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/configuration"
#include "dewbeam/http"
#include "dewbeam/src/caller/errors.h"

namespace dewbeam::caller {

/// What is called.
enum class call_kind { completion, service };

/// Limits on what a caller may send.
struct call_limits {
    std::size_t m_most_json_depth = 32;
    std::int64_t m_most_output_tokens = 32'768;
    std::size_t m_most_key_bytes = 255;
};

/// A caller's request, read.
struct call {
    call_kind m_kind = call_kind::completion;
    bool m_is_stream = false;
    model_id m_model;            ///< of a completion
    std::string m_service;       ///< of a service
    std::string m_bearer_token;  ///< empty: none
    std::string m_workspace;     ///< as the caller names it; proven only by a token
    std::string m_idempotency_key;
    configuration::label_set m_labels;    ///< that the caller sent
    token_count m_prompt_tokens;          ///< estimate
    token_count m_output_tokens;          ///< upper bound
    std::vector<std::uint64_t> m_prefix;  ///< cumulative hashes of the prompt's blocks
    fingerprint m_content;                ///< of method, target and body
};

/// Bytes of prompt text that count as one token in estimates.
inline constexpr std::size_t bytes_per_token = 4;
/// Bytes of prompt text in one prefix block: 64 tokens.
inline constexpr std::size_t prefix_block_bytes = 256;

/// Reads the request, or says what is wrong with it.
std::variant<call, error> read_call(const http::request& source, const call_limits& limits);

/// Cumulative hashes of the prompt's whole blocks: equal prefixes give equal leading hashes.
std::vector<std::uint64_t> prefix_hashes(std::string_view prompt);

/// The labels by which selectors see a request. Later ones win: those the caller sent, those of
/// its workspace, and the facts `workspace`, `model`, `service`, `stream`.
configuration::label_set request_labels(const call& wanted,
                                        const configuration::workspace* workspace);

/// SHA-256 in lower case hex, as bearer tokens are stored.
std::string token_hash(std::string_view token);

/// SHA-256 over workspace and idempotency key, as raw bytes: the name of a claim.
std::string claim_key_of(std::string_view workspace, std::string_view key);

/// Compares in a time that does not depend on where the two differ.
bool equal_in_constant_time(std::string_view a, std::string_view b);

}  // namespace dewbeam::caller
