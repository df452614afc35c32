#include "dewbeam/src/caller/call.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <optional>

namespace dewbeam::caller {

namespace {

using json = nlohmann::json;

constexpr std::string_view chat_path = "/v1/chat/completions";
constexpr std::string_view text_path = "/v1/completions";
constexpr std::string_view service_path = "/services/";
constexpr std::string_view bearer_prefix = "Bearer ";
/// Facts that callers must not be able to claim.
constexpr std::array<const char*, 4> reserved_labels{"workspace", "model", "service", "stream"};
constexpr std::int64_t default_output_tokens = 512;

std::optional<error> append_content(const json& content, std::string& prompt)
{
    if (content.is_string()) {
        prompt += content.get_ref<const std::string&>();
        return std::nullopt;
    }
    if (content.is_array()) {
        for (const auto& part : content) {
            if (part.is_object() && part.contains("text") && part["text"].is_string()) {
                prompt += part["text"].get_ref<const std::string&>();
            }
        }
        return std::nullopt;
    }
    return bad_request("invalid_messages", "each message needs a string or a list as content",
                       "messages");
}

std::optional<error> read_messages(const json& body, std::string& prompt)
{
    const auto place = body.find("messages");
    if (place == body.end() || !place->is_array() || place->empty()) {
        return bad_request("invalid_messages", "messages must be a list that is not empty",
                           "messages");
    }
    for (const auto& message : *place) {
        if (!message.is_object() || !message.contains("role") || !message.contains("content")) {
            return bad_request("invalid_messages", "each message needs a role and a content",
                               "messages");
        }
        if (auto fault = append_content(message["content"], prompt)) {
            return fault;
        }
        prompt += '\n';
    }
    return std::nullopt;
}

std::optional<error> read_prompt(const json& body, bool is_chat, std::string& prompt)
{
    if (is_chat) {
        return read_messages(body, prompt);
    }
    const auto place = body.find("prompt");
    if (place == body.end() || !place->is_string()) {
        return bad_request("invalid_prompt", "prompt must be a string", "prompt");
    }
    prompt = place->get<std::string>();
    return std::nullopt;
}

std::optional<error> read_options(const json& body, const call_limits& limits, call& result)
{
    const auto model = body.find("model");
    if (model != body.end() && !model->is_string()) {
        return bad_request("invalid_model", "model must be a string", "model");
    }
    if (model != body.end()) {
        result.m_model = model_id(model->get<std::string>());
    }
    const auto stream = body.find("stream");
    if (stream != body.end() && !stream->is_boolean()) {
        return bad_request("invalid_stream", "stream must be true or false", "stream");
    }
    result.m_is_stream = stream != body.end() && stream->get<bool>();
    result.m_output_tokens = {default_output_tokens};
    const auto most = body.find("max_tokens");
    if (most == body.end() || most->is_null()) {
        return std::nullopt;
    }
    const bool is_right = most->is_number_integer() && most->get<std::int64_t>() >= 1 &&
                          most->get<std::int64_t>() <= limits.m_most_output_tokens;
    if (!is_right) {
        return bad_request("invalid_max_tokens",
                           "max_tokens must be a whole number from 1 to " +
                               std::to_string(limits.m_most_output_tokens),
                           "max_tokens");
    }
    result.m_output_tokens = {most->get<std::int64_t>()};
    return std::nullopt;
}

std::optional<error> read_completion(const http::request& source, const call_limits& limits,
                                     call& result)
{
    if (source.m_method != "POST") {
        auto fault = bad_request("method_not_allowed", "this path takes POST");
        fault.m_status = 405;
        return fault;
    }
    const auto parsed = parse_json(source.m_body, limits.m_most_json_depth);
    if (absl::IsOutOfRange(parsed.status())) {
        return bad_request(
            "json_too_deep",
            "the body nests deeper than " + std::to_string(limits.m_most_json_depth) + " levels");
    }
    if (!parsed.ok() || !parsed->is_object()) {
        return bad_request("invalid_json", "the body must be a JSON object");
    }
    const auto& body = *parsed;
    if (auto fault = read_options(body, limits, result)) {
        return fault;
    }
    std::string prompt;
    if (auto fault = read_prompt(body, http::path_of(source.m_target) == chat_path, prompt)) {
        return fault;
    }
    result.m_prompt_tokens = {static_cast<std::int64_t>(prompt.size() / bytes_per_token + 1)};
    result.m_prefix = prefix_hashes(prompt);
    return std::nullopt;
}

std::optional<error> read_service(std::string_view path, const http::request& source, call& result)
{
    const auto rest = path.substr(service_path.size());
    const auto name = rest.substr(0, rest.find('/'));
    if (name.empty() || !configuration::is_label_part(name)) {
        return bad_request("invalid_service",
                           "a service's name is 1 to 63 letters, digits, '.', '_' or '-'");
    }
    result.m_kind = call_kind::service;
    result.m_service = std::string(name);
    result.m_prompt_tokens = {
        static_cast<std::int64_t>(source.m_body.size() / bytes_per_token + 1)};
    result.m_output_tokens = {1};
    return std::nullopt;
}

std::optional<error> read_fields(const http::request& source, const call_limits& limits,
                                 call& result)
{
    const auto authorization = http::find_field(source.m_fields, "Authorization");
    if (!authorization.empty() && !authorization.starts_with(bearer_prefix)) {
        auto fault = bad_request("invalid_authorization", "Authorization must be 'Bearer TOKEN'",
                                 "Authorization");
        fault.m_status = 401;
        return fault;
    }
    if (!authorization.empty()) {
        result.m_bearer_token = std::string(authorization.substr(bearer_prefix.size()));
    }
    result.m_workspace = std::string(http::find_field(source.m_fields, "X-Dewbeam-Workspace"));
    result.m_idempotency_key = std::string(http::find_field(source.m_fields, "Idempotency-Key"));
    if (result.m_idempotency_key.size() > limits.m_most_key_bytes) {
        return bad_request(
            "invalid_idempotency_key",
            "Idempotency-Key must be at most " + std::to_string(limits.m_most_key_bytes) + " bytes",
            "Idempotency-Key");
    }
    const auto text = http::find_field(source.m_fields, "X-Dewbeam-Labels");
    auto labels = configuration::parse_labels(text);
    if (!labels.ok()) {
        return bad_request("invalid_labels", std::string(labels.status().message()),
                           "X-Dewbeam-Labels");
    }
    for (const auto* reserved : reserved_labels) {
        if (labels->find(reserved) != nullptr) {
            return bad_request(
                "reserved_label",
                std::string("the label '") + reserved + "' is set by dewbeam and not allowed here",
                "X-Dewbeam-Labels");
        }
    }
    result.m_labels = *std::move(labels);
    return std::nullopt;
}

std::string sha256(std::string_view bytes)
{
    std::string digest(SHA256_DIGEST_LENGTH, '\0');
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(),
           reinterpret_cast<unsigned char*>(digest.data()));
    return digest;
}

void set_label(configuration::label_set& labels, std::string_view key, const std::string& value)
{
    if (!value.empty() && configuration::is_label_part(value)) {
        labels.set(key, value);
    }
}

}  // namespace

std::variant<call, error> read_call(const http::request& source, const call_limits& limits)
{
    call result;
    if (auto fault = read_fields(source, limits, result)) {
        return *fault;
    }
    const auto path = http::path_of(source.m_target);
    std::optional<error> fault;
    if (path == chat_path || path == text_path) {
        fault = read_completion(source, limits, result);
    }
    else if (path.starts_with(service_path)) {
        fault = read_service(path, source, result);
    }
    else {
        fault = bad_request("unknown_path", "there is no such path");
        fault->m_status = 404;
    }
    if (fault) {
        return *fault;
    }
    const auto content = stable_hash(source.m_body, stable_hash(source.m_target));
    result.m_content = fingerprint(combine_hash(content, stable_hash(source.m_method)));
    return result;
}

std::vector<std::uint64_t> prefix_hashes(std::string_view prompt)
{
    std::vector<std::uint64_t> hashes;
    std::uint64_t previous = 0;
    for (std::size_t start = 0; start + prefix_block_bytes <= prompt.size();
         start += prefix_block_bytes) {
        previous = stable_hash(prompt.substr(start, prefix_block_bytes), previous);
        hashes.push_back(previous);
    }
    return hashes;
}

configuration::label_set request_labels(const call& wanted,
                                        const configuration::workspace* workspace)
{
    auto labels = wanted.m_labels;
    if (workspace != nullptr) {
        labels = configuration::merge_labels(labels, workspace->m_labels);
        set_label(labels, "workspace", workspace->m_name.value());
    }
    set_label(labels, "model", wanted.m_model.value());
    set_label(labels, "service", wanted.m_service);
    labels.set("stream", wanted.m_is_stream ? "true" : "false");
    return labels;
}

std::string token_hash(std::string_view token)
{
    const auto digest = sha256(token);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const char c : digest) {
        const auto byte = static_cast<unsigned char>(c);
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

std::string claim_key_of(std::string_view workspace, std::string_view key)
{
    // The length keeps ("ab", "c") and ("a", "bc") apart.
    return sha256(std::to_string(workspace.size()) + ":" + std::string(workspace) +
                  std::string(key));
}

bool equal_in_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

}  // namespace dewbeam::caller
