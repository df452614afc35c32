// Readers of bytes from outside, on damaged forms of valid input: each returns, and what it refuses
// it refuses by a short message in UTF-8.
//
// DEWBEAM_FUZZ_RUNS and DEWBEAM_FUZZ_SEED set how many damaged forms each reader gets, and which.
#include <gtest/gtest.h>

#include <cstdlib>
#include <functional>

#include "dewbeam/caller"
#include "dewbeam/configuration"
#include "dewbeam/engine"
#include "platform/announcement_codec.h"
#include "platform/book_codec.h"
#include "platform/call_codec.h"
#include "platform/rank_codec.h"

namespace dewbeam {
namespace {

using json = nlohmann::json;

std::uint64_t number_from_environment(const char* name, std::uint64_t otherwise)
{
    const char* text = std::getenv(name);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

std::uint64_t runs()
{
    return number_from_environment("DEWBEAM_FUZZ_RUNS", 1000);
}

std::string repeat(std::string_view part, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i) {
        result += part;
    }
    return result;
}

/// JSON text of a value that no reader asks for.
std::string draw_value(random_engine& random)
{
    const std::vector<std::string> values{"null",
                                          "true",
                                          "-1",
                                          "0.5",
                                          "1e308",
                                          "18446744073709551615",
                                          "99999999999999999999999",
                                          "\"\"",
                                          "\"text\"",
                                          "[]",
                                          "{}",
                                          "[{}]",
                                          R"({"version":"x","step":[],"name":7})",
                                          "\"" + repeat("\xC3\xA9", 40) + "\"",
                                          "\"" + repeat("\xE2\x82\xAC", 21) + "\"",
                                          "\"\xFF\xFE\"",
                                          "\"\\ud800\"",
                                          "\"\\u0000\"",
                                          "\"" + repeat("x", 100'000) + "\"",
                                          repeat("[", 31) + repeat("]", 31),
                                          repeat("[", 100'000) + repeat("]", 100'000),
                                          repeat("{\"a\":", 20'000) + "1" + repeat("}", 20'000)};
    return values[uniform_below(random, values.size())];
}

/// Replaces the value behind a colon, up to the next comma or bracket.
void replace_value(std::string& text, random_engine& random)
{
    const auto from = text.find(':', uniform_below(random, text.size()));
    if (from == std::string::npos) {
        return;
    }
    const auto to = std::min(text.find_first_of(",}]", from), text.size());
    text.replace(from + 1, to - from - 1, draw_value(random));
}

std::string damage(std::string text, random_engine& random)
{
    constexpr std::uint64_t kinds = 6;
    for (auto left = 1 + uniform_below(random, 3); left > 0 && !text.empty(); --left) {
        const auto place = uniform_below(random, text.size());
        switch (uniform_below(random, kinds)) {
            case 0:
                text[place] = static_cast<char>(uniform_below(random, 256));
                break;
            case 1:
                text.insert(place, 1, static_cast<char>(uniform_below(random, 256)));
                break;
            case 2:
                text.erase(place, 1 + uniform_below(random, 8));
                break;
            case 3:
                text.resize(place);
                break;
            default:
                replace_value(text, random);
        }
    }
    return text;
}

void expect_short_message(const absl::Status& status, const std::string& input)
{
    constexpr std::size_t max_message = 400;
    const std::string message(status.message());
    EXPECT_LE(message.size(), max_message) << input.substr(0, max_message);
    EXPECT_TRUE(is_utf8(message)) << input.substr(0, max_message);
}

using reader = std::function<absl::Status(const std::string&)>;

/// Gives `read` the valid text, then damaged forms of it.
void fuzz(const std::string& valid, const reader& read)
{
    EXPECT_TRUE(read(valid).ok()) << read(valid);
    random_engine random(number_from_environment("DEWBEAM_FUZZ_SEED", 59));
    for (std::uint64_t i = 0; i < runs(); ++i) {
        const auto text = damage(valid, random);
        expect_short_message(read(text), text);
    }
}

const std::string book_text = R"({"version":7,"routes":[{"name":"r","host":"a.example",
"path-prefix":"/a/","kind":"streaming","timeout-ms":8000,"target-latency-ms":400,"priority":1,
"backends":[{"service":"s","weight":90}],"max-attempts":2,"allow-anonymous":false,
"stream-resume":true,"gap-aim-ms":120}],"services":[{"name":"s","health-path":"/healthz",
"max-connections":418,"cold-per-s":2.5,"cold-start-s":4,"engine":{"stride":6,"step_ms":4.84,
"sets":4,"experts":72,"places":8,"spare":3,"expert-mb":2200.0,"expert-share":0.85,
"link-mbps":180000.0}}],"tenants":[{"name":"t","api-keys":["k1","k2"],"priority":1}]})";

TEST(input_fuzz, announcements)
{
    const std::string valid =
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1","slots":4,
"state":"ready","sequence":7,"born":3,"cold-remaining-ms":10,
"group":{"name":"g","epoch":2,"rank":1,"state":"open"}})";
    fuzz(valid, [](const std::string& text) {
        const auto read = platform::read_announcement(upstream_id("i-1"), text);
        if (read.ok()) {
            EXPECT_TRUE(is_utf8(read->m_service) && is_utf8(read->m_software));
            EXPECT_TRUE(is_utf8(read->m_failure_domain.value()));
        }
        return read.status();
    });
    fuzz(R"({"born":3})",
         [](const std::string& text) { return platform::read_withdrawal(text).status(); });
}

TEST(input_fuzz, books)
{
    fuzz(book_text, [](const std::string& text) { return platform::read_book(text).status(); });
    fuzz(book_text,
         [](const std::string& text) { return platform::read_engine_facts(text, "s").status(); });
}

TEST(input_fuzz, ranks_of_engines)
{
    fuzz(R"({"step":7,"map":{"version":3},"prepared":4,"armed":{"version":4,"step":9},"held":8,
"pace":1.5,"size":4,"group":{"name":"g","epoch":2,"rank":1,"state":"open"}})",
         [](const std::string& text) { return platform::read_report(text).status(); });
    fuzz(R"({"epoch":2,"step":7,"counts":[1,2,3]})",
         [](const std::string& text) { return platform::read_counts(text).status(); });
    fuzz(R"({"epoch":2,"map":{"version":3,"experts":[[1,2],[3,4]]}})",
         [](const std::string& text) { return platform::read_holding(text).status(); });
    fuzz("[[[1,2],[3]],[[1],[2,3]]]",
         [](const std::string& text) { return ranks::placement_from_json(text).status(); });
}

TEST(input_fuzz, engines_behind_agents)
{
    fuzz(R"({"name":"m","running":1,"waiting":2,"free_kv_tokens":3,"total_kv_tokens":4,
"step_us":5,"skew":1.5,"slots":6,"models":["m"],"incarnation":7})",
         [](const std::string& text) { return engine::parse_load(text).status(); });
    const std::string any = R"({"version":1,"map":[[0,1],[1,0]],"step":2,"fence":3,"op":"arm",
"layers":[[1,2]],"counts":[[1,2]],"experts":2,"ranks":2,"status":"done"})";
    const auto ignore_end = [](auto read) {
        return [read](const std::string& text) {
            expect_short_message(read(text).status(), text);
            return absl::OkStatus();
        };
    };
    fuzz(any, ignore_end(engine::map_from_json));
    fuzz(any, ignore_end(engine::report_from_json));
    fuzz(any, ignore_end(engine::order_from_json));
    fuzz(any, ignore_end(engine::answer_from_json));
}

TEST(input_fuzz, changes_of_operators)
{
    const std::string valid =
        R"({"id":"c-1","base":0,"patch":{"workspaces":{"w":{"weight":1}},"models":{"m":{}}}})";
    fuzz(valid, [](const std::string& text) {
        const auto wanted = configuration::decode_change(text);
        if (wanted.ok()) {
            configuration::store state;
            for (const auto& mistake : configuration::apply(state, *wanted, {}).m_mistakes) {
                constexpr std::size_t max_value = 100;
                EXPECT_LE(mistake.m_value.size(), max_value);
            }
            EXPECT_TRUE(configuration::decode_store(configuration::encode(state)).ok());
        }
        return wanted.status();
    });
}

TEST(input_fuzz, callers_of_entries)
{
    const std::string valid =
        R"({"model":"m","stream":true,"max_tokens":5,"messages":[{"role":"user","content":"a"}]})";
    fuzz(valid, [](const std::string& text) {
        const auto read = caller::read_call({"POST", "/v1/chat/completions", {}, text}, {});
        const auto* fault = std::get_if<caller::error>(&read);
        return fault == nullptr ? absl::OkStatus() : absl::InvalidArgumentError(fault->m_message);
    });
}

TEST(input_fuzz, fields_of_requests_and_answers)
{
    const std::vector<std::string> names{"Host",          "Attempt-Id",    "Deadline-Ms",
                                         "Authorization", "Last-Event-Id", "Token-Count",
                                         "Length-Hint",   "Prompt-Prefix", "Connection"};
    for (const auto& name : names) {
        fuzz("100", [&](const std::string& value) {
            const http::request wanted{"GET", "/a/" + value, {{name, value}}, {}};
            const auto read = platform::read_call(wanted);
            platform::to_upstream(wanted, {});
            return read.status();
        });
    }
    for (const auto* name : {"Attempt-Id", "Server-Limit", "Server-Leaving", "At-Server",
                             "Retry-After", "Content-Type", "Not-Executed", "Response-Stamp"}) {
        fuzz("1", [&](const std::string& value) {
            platform::read_answer_head(503, {{name, value}});
            platform::to_caller_fields({{name, value}});
            return absl::OkStatus();
        });
    }
}

}  // namespace
}  // namespace dewbeam
