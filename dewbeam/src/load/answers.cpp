#include "dewbeam/src/load/answers.h"

#include <optional>

#include "dewbeam/fake_engine"

namespace dewbeam::load {

namespace {

using json = nlohmann::json;

constexpr std::string_view event_prefix = "data: ";
constexpr std::string_view event_end = "\n\n";
constexpr std::string_view last_event = "[DONE]";

bool is_chat(const work& kind)
{
    return kind.m_path == "/v1/chat/completions";
}

bool is_plain(const work& kind)
{
    return kind.m_model.empty();
}

/// The prompt as the stand-in joins it from the request.
std::string prompt_of(const work& kind, const planned_request& planned)
{
    return is_chat(kind) ? planned.m_prompt + "\n" : planned.m_prompt;
}

std::string expected_text(const work& kind, const planned_request& planned)
{
    const auto hash = stable_hash(prompt_of(kind, planned));
    std::string text;
    for (std::uint64_t i = 0; i < planned.m_output_tokens; ++i) {
        text += fake_engine::answer_word(hash, i);
    }
    return text;
}

verdict judge_text(const std::string& expected, const std::string& text)
{
    if (text == expected) {
        return verdict::right;
    }
    if (expected.starts_with(text)) {
        return verdict::truncated;
    }
    return text.starts_with(expected) ? verdict::repeated : verdict::foreign;
}

/// The text of the only choice; nothing where the form is wrong.
std::optional<std::string> text_of(const json& body, const char* chat_part, bool chats)
{
    const auto pointer = chats ? std::string("/choices/0/") + chat_part + "/content"
                               : std::string("/choices/0/text");
    const json::json_pointer place(pointer);
    if (!body.is_object() || !body.contains(place) || !body[place].is_string()) {
        return std::nullopt;
    }
    return body[place].get<std::string>();
}

verdict judge_plain(const work& kind, const planned_request& planned, const json& body)
{
    if (!body.is_object() || !body.contains("echo") || !body["echo"].is_string()) {
        return verdict::malformed;
    }
    return body["echo"] == request_body(kind, planned) ? verdict::right : verdict::foreign;
}

}  // namespace

const char* to_string(verdict value)
{
    switch (value) {
        case verdict::right:
            return "right";
        case verdict::truncated:
            return "truncated";
        case verdict::repeated:
            return "repeated";
        case verdict::foreign:
            return "foreign";
        case verdict::malformed:
            return "malformed";
        case verdict::ended_with_error:
            break;
    }
    return "ended_with_error";
}

std::string request_body(const work& kind, const planned_request& planned)
{
    if (is_plain(kind)) {
        return json{{"marker", planned.m_marker}}.dump();
    }
    json body{{"model", kind.m_model},
              {"max_tokens", planned.m_output_tokens},
              {"stream", kind.m_streams}};
    if (is_chat(kind)) {
        body["messages"] = json::array({{{"role", "user"}, {"content", planned.m_prompt}}});
    }
    else {
        body["prompt"] = planned.m_prompt;
    }
    return body.dump();
}

verdict judge_whole(const work& kind, const planned_request& planned, std::string_view body)
{
    const auto source = parse_json(body).value_or(json());
    if (is_plain(kind)) {
        return judge_plain(kind, planned, source);
    }
    const auto text = text_of(source, "message", is_chat(kind));
    return text ? judge_text(expected_text(kind, planned), *text) : verdict::malformed;
}

verdict judge_stream(const work& kind, const planned_request& planned, std::string_view body)
{
    std::string text;
    bool has_end = false;
    while (!body.empty()) {
        const auto end = body.find(event_end);
        if (end == std::string_view::npos) {
            return verdict::truncated;
        }
        auto event = body.substr(0, end);
        body.remove_prefix(end + event_end.size());
        if (has_end) {
            return verdict::repeated;
        }
        const auto data = event.find(event_prefix);
        if (data == std::string_view::npos) {
            return verdict::malformed;
        }
        event.remove_prefix(data + event_prefix.size());
        if (event == last_event) {
            has_end = true;
            continue;
        }
        const auto source = parse_json(event).value_or(json());
        if (source.is_object() && source.contains("error")) {
            return expected_text(kind, planned).starts_with(text) ? verdict::ended_with_error
                                                                  : verdict::foreign;
        }
        const auto piece = text_of(source, "delta", is_chat(kind));
        if (!piece) {
            return verdict::malformed;
        }
        text += *piece;
    }
    const auto result = judge_text(expected_text(kind, planned), text);
    return result == verdict::right && !has_end ? verdict::truncated : result;
}

}  // namespace dewbeam::load
