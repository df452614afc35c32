// The API towards callers: what is read, what is refused, and that any bytes are one or the other.
#include "dewbeam/caller"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dewbeam::caller {
namespace {

http::request chat(const std::string& body, http::fields fields = {})
{
    return {"POST", "/v1/chat/completions", std::move(fields), body};
}

std::string code_of(const http::request& source)
{
    const auto read = read_call(source, {});
    const auto* fault = std::get_if<error>(&read);
    return fault == nullptr ? "" : fault->m_code;
}

TEST(call, reads_a_chat_request)
{
    const auto read =
        read_call(chat(R"({"model": "m", "stream": true, "max_tokens": 7,
                 "messages": [{"role": "user", "content": "hello"}]})",
                       {{"Authorization", "Bearer t"}, {"X-Dewbeam-Labels", "task=alert"}}),
                  {});
    const auto* wanted = std::get_if<call>(&read);
    ASSERT_NE(wanted, nullptr);
    EXPECT_EQ(wanted->m_model, model_id("m"));
    EXPECT_TRUE(wanted->m_is_stream);
    EXPECT_EQ(wanted->m_output_tokens.m_count, 7);
    EXPECT_EQ(wanted->m_bearer_token, "t");
    EXPECT_EQ(*wanted->m_labels.find("task"), "alert");
}

TEST(call, names_each_mistake)
{
    const std::string right = R"("messages": [{"role": "user", "content": "x"}])";
    EXPECT_EQ(code_of(chat("{")), "invalid_json");
    EXPECT_EQ(code_of(chat("[]")), "invalid_json");
    EXPECT_EQ(code_of(chat("{}")), "invalid_messages");
    EXPECT_EQ(code_of(chat(R"({"messages": [{"role": "user"}]})")), "invalid_messages");
    EXPECT_EQ(code_of(chat(R"({"model": 1, )" + right + "}")), "invalid_model");
    EXPECT_EQ(code_of(chat(R"({"stream": 1, )" + right + "}")), "invalid_stream");
    EXPECT_EQ(code_of(chat(R"({"max_tokens": 0, )" + right + "}")), "invalid_max_tokens");
    EXPECT_EQ(code_of(chat(std::string(100, '[') + std::string(100, ']'))), "json_too_deep");
    EXPECT_EQ(code_of({"GET", "/v1/completions", {}, ""}), "method_not_allowed");
    EXPECT_EQ(code_of({"POST", "/v2/nothing", {}, ""}), "unknown_path");
    EXPECT_EQ(code_of({"POST", "/services/", {}, ""}), "invalid_service");
    EXPECT_EQ(code_of(chat("{}", {{"Authorization", "Basic x"}})), "invalid_authorization");
    EXPECT_EQ(code_of(chat("{}", {{"X-Dewbeam-Labels", "a"}})), "invalid_labels");
    EXPECT_EQ(code_of(chat("{}", {{"X-Dewbeam-Labels", "workspace=other"}})), "reserved_label");
    EXPECT_EQ(code_of(chat("{}", {{"Idempotency-Key", std::string(300, 'k')}})),
              "invalid_idempotency_key");
}

TEST(call, workspace_labels_win_over_the_callers)
{
    call wanted;
    wanted.m_labels.set("tier", "gold");
    configuration::workspace owner;
    owner.m_name = workspace_id("arusha");
    owner.m_labels.set("tier", "silver");
    const auto labels = request_labels(wanted, &owner);
    EXPECT_EQ(*labels.find("tier"), "silver");
    EXPECT_EQ(*labels.find("workspace"), "arusha");
}

TEST(call, equal_prefixes_give_equal_leading_hashes)
{
    const std::string common(3 * prefix_block_bytes, 'a');
    const auto first = prefix_hashes(common + std::string(prefix_block_bytes, 'b'));
    const auto second = prefix_hashes(common + std::string(prefix_block_bytes, 'c'));
    ASSERT_EQ(first.size(), 4U);
    EXPECT_TRUE(std::equal(first.begin(), first.begin() + 3, second.begin()));
    EXPECT_NE(first[3], second[3]);
}

TEST(call, claim_keys_keep_workspaces_apart)
{
    EXPECT_NE(claim_key_of("ab", "c"), claim_key_of("a", "bc"));
    EXPECT_EQ(claim_key_of("a", "b"), claim_key_of("a", "b"));
    EXPECT_EQ(token_hash("").size(), 64U);
    EXPECT_TRUE(equal_in_constant_time("abc", "abc"));
    EXPECT_FALSE(equal_in_constant_time("abc", "abd"));
}

TEST(errors, advice_is_in_whole_seconds_of_at_least_one)
{
    error fault;
    fault.m_status = 429;
    fault.m_outcome = run_outcome::not_run;
    fault.m_retry_after = std::chrono::milliseconds(1200);
    const auto answer = to_response(fault, "r");
    EXPECT_EQ(http::find_field(answer.m_fields, "Retry-After"), "2");
    EXPECT_EQ(http::find_field(answer.m_fields, "X-Dewbeam-Outcome"), "not_run");
}

RC_GTEST_PROP(call, any_bytes_are_read_or_refused,
              (const std::string& body, const std::string& labels, const std::string& key))
{
    const auto path = *rc::gen::element<std::string>("/v1/chat/completions", "/v1/completions",
                                                     "/services/a/b", "/", "");
    const auto read = read_call(
        {"POST", path, {{"X-Dewbeam-Labels", labels}, {"Idempotency-Key", key}}, body}, {});
    if (const auto* fault = std::get_if<error>(&read)) {
        RC_ASSERT(fault->m_status >= 400 && fault->m_status < 500);
        RC_ASSERT(!fault->m_code.empty() && !to_json(*fault).empty());
    }
}

}  // namespace
}  // namespace dewbeam::caller
