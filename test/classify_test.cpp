// Classification of calls: the selector found, its effect on the request, and refusals.
#include "dewbeam/src/entry/classify.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "dewbeam/src/entry/pool_table.h"
#include "dewbeam/src/entry/refusals.h"

namespace dewbeam::entry {
namespace {

using json = nlohmann::json;

constexpr const char* body = R"({"model":"ad-copy","prompt":"x"})";

/// A document with one selector for each way in which requests are distinguished.
json rules_json()
{
    return json::parse(R"({
        "workspaces": {"arusha": {"labels": {"tier": "gold"}, "weight": 2},
                       "moshi": {}},
        "selectors": {
            "alerts": {"when": "service=alerts", "upstreams": "service=alerts",
                       "class": "urgent", "idempotent": false, "time_limit_ms": 5000},
            "briefs": {"when": "model=ad-copy", "upstreams": "pool=chat"},
            "gold": {"when": "model=ad-copy,tier=gold", "upstreams": "pool=gold",
                     "priority": 1, "model": "ad-copy-large", "version": "v2", "weight": 3},
            "keyed": {"when": "model=payments", "upstreams": "pool=chat",
                      "idempotent": false, "key_required": true},
            "tuned": {"when": "model=ad-tuned", "upstreams": "pool=chat", "model": "ad-copy",
                      "adapter": "lora-1"}}})");
}

configuration::document parsed(const json& source)
{
    auto result = configuration::parse_document(source);
    EXPECT_TRUE(result.m_mistakes.empty()) << to_string(result.m_mistakes);
    return std::move(result.m_document);
}

configuration::document rules()
{
    return parsed(rules_json());
}

/// The rules with a token for one workspace.
configuration::document rules_with_token(const char* workspace, const char* token)
{
    auto source = rules_json();
    source["workspaces"][workspace]["token_hashes"] = {caller::token_hash(token)};
    return parsed(source);
}

caller::call completion(const char* model, const char* workspace = "")
{
    caller::call wanted;
    wanted.m_model = model_id(model);
    wanted.m_workspace = workspace;
    return wanted;
}

caller::call alert()
{
    caller::call wanted;
    wanted.m_kind = caller::call_kind::service;
    wanted.m_service = "alerts";
    return wanted;
}

/// The code of the refusal, or the name of the selector.
std::string verdict_of(const configuration::document& document, const caller::call& wanted)
{
    const auto found = classify(document, wanted);
    if (const auto* fault = std::get_if<caller::error>(&found)) {
        return fault->m_code;
    }
    return std::get<classification>(found).m_rule->m_name;
}

/// The name of the workspace under which a call runs.
std::string workspace_of(const configuration::document& document, const caller::call& wanted)
{
    const auto found = classify(document, wanted);
    const auto* match = std::get_if<classification>(&found);
    if (match == nullptr) {
        return "refused";
    }
    return match->m_workspace == nullptr ? "none" : match->m_workspace->m_name.value();
}

/// The facts that follow from classifying a call.
entry_request::facts facts_of(const configuration::document& document, caller::call wanted)
{
    const auto match = std::get<classification>(classify(document, wanted));
    entry_request::facts known;
    known.m_call = std::move(wanted);
    known.m_request.m_body = body;
    known.m_arrival = time_point(std::chrono::seconds(100));
    apply(match, {3, 7}, known);
    return known;
}

dispatch::request_info info_of(const configuration::document& document, const caller::call& wanted)
{
    const auto match = std::get<classification>(classify(document, wanted));
    return to_request_info(match, facts_of(document, wanted));
}

bool claims_key(const configuration::document& document, const caller::call& wanted)
{
    const auto match = std::get<classification>(classify(document, wanted));
    return needs_claim(match, facts_of(document, wanted));
}

TEST(classify, finds_the_selector_by_the_labels_of_call_and_workspace)
{
    const auto document = rules();
    EXPECT_EQ(verdict_of(document, completion("ad-copy")), "briefs");
    EXPECT_EQ(verdict_of(document, completion("ad-copy", "moshi")), "briefs");
    EXPECT_EQ(verdict_of(document, completion("ad-copy", "arusha")), "gold");
    EXPECT_EQ(verdict_of(document, alert()), "alerts");
}

TEST(classify, refuses_what_no_selector_matches)
{
    EXPECT_EQ(verdict_of(rules(), completion("nothing")), no_selector({}).m_code);
}

TEST(classify, refuses_a_workspace_that_is_not_there)
{
    EXPECT_EQ(verdict_of(rules(), completion("ad-copy", "nobody")), unknown_workspace().m_code);
    EXPECT_EQ(workspace_of(rules(), completion("ad-copy")), "none");
}

TEST(classify, lets_a_token_win_over_the_name_that_the_caller_gives)
{
    const auto document = rules_with_token("arusha", "secret");
    auto wanted = completion("ad-copy", "moshi");
    EXPECT_EQ(workspace_of(document, wanted), "moshi");
    wanted.m_bearer_token = "secret";
    EXPECT_EQ(workspace_of(document, wanted), "arusha");
}

TEST(classify, refuses_a_token_of_no_workspace)
{
    auto wanted = completion("ad-copy", "moshi");
    wanted.m_bearer_token = "wrong";
    EXPECT_EQ(verdict_of(rules_with_token("arusha", "secret"), wanted), not_authorized().m_code);
}

TEST(classify, refuses_a_caller_without_a_token_where_tokens_are_required)
{
    auto document = rules_with_token("arusha", "secret");
    document.m_tokens_required = true;
    auto wanted = completion("ad-copy", "arusha");
    EXPECT_EQ(verdict_of(document, wanted), not_authorized().m_code);
    wanted.m_bearer_token = "secret";
    EXPECT_EQ(verdict_of(document, wanted), "gold");
}

TEST(classify, refuses_a_call_without_a_key_where_the_selector_wants_one)
{
    auto wanted = completion("payments");
    EXPECT_EQ(verdict_of(rules(), wanted), key_required("keyed").m_code);
    wanted.m_idempotency_key = "k";
    EXPECT_EQ(verdict_of(rules(), wanted), "keyed");
}

TEST(classify, claims_keys_only_of_work_that_must_not_run_twice)
{
    const auto document = rules();
    auto keyed = alert();
    EXPECT_FALSE(claims_key(document, keyed));
    keyed.m_idempotency_key = "k";
    EXPECT_TRUE(claims_key(document, keyed));
    auto idempotent = completion("ad-copy");
    idempotent.m_idempotency_key = "k";
    EXPECT_FALSE(claims_key(document, idempotent));
}

TEST(classify, claims_a_key_once)
{
    const auto document = rules();
    auto keyed = alert();
    keyed.m_idempotency_key = "k";
    auto known = facts_of(document, keyed);
    known.m_claim.emplace();
    EXPECT_FALSE(needs_claim(std::get<classification>(classify(document, keyed)), known));
}

TEST(classify, writes_the_selectors_rules_into_the_facts)
{
    const auto known = facts_of(rules(), alert());
    EXPECT_EQ(known.m_selector, "alerts");
    EXPECT_EQ(known.m_pool, service_pool("alerts"));
    EXPECT_EQ(known.m_deadline, time_point(std::chrono::seconds(105)));
    EXPECT_FALSE(known.m_idempotent);
    EXPECT_TRUE(known.m_urgent);
    EXPECT_EQ(known.m_workspace, "");
    EXPECT_EQ(known.m_configuration, (configuration_version{3, 7}));
    EXPECT_EQ(known.m_request.m_body, body);
}

TEST(classify, leaves_the_body_where_the_selector_names_no_model)
{
    const auto known = facts_of(rules(), completion("ad-copy", "moshi"));
    EXPECT_EQ(known.m_request.m_body, body);
    EXPECT_EQ(known.m_caller_body, "");
    EXPECT_EQ(known.m_pool, model_pool(model_id("ad-copy")));
    EXPECT_EQ(known.m_workspace, "moshi");
}

TEST(classify, writes_the_selectors_model_into_call_and_body_and_keeps_the_callers_body)
{
    const auto known = facts_of(rules(), completion("ad-copy", "arusha"));
    EXPECT_EQ(known.m_call.m_model, model_id("ad-copy-large"));
    EXPECT_EQ(known.m_request.m_body, R"({"model":"ad-copy-large","prompt":"x"})");
    EXPECT_EQ(known.m_caller_body, body);
    EXPECT_EQ(known.m_pool, model_pool(model_id("ad-copy-large")));
}

TEST(classify, sends_an_adapters_name_to_the_pool_of_its_model)
{
    const auto known = facts_of(rules(), completion("ad-tuned"));
    EXPECT_EQ(known.m_request.m_body, R"({"model":"lora-1","prompt":"x"})");
    EXPECT_EQ(known.m_pool, model_pool(model_id("ad-copy")));
}

TEST(classify, tells_the_broker_weights_class_and_conditions)
{
    const auto document = rules();
    const auto info = info_of(document, completion("ad-copy", "arusha"));
    EXPECT_EQ(info.m_selector, "gold");
    EXPECT_EQ(info.m_selector_weight, 3.0);
    EXPECT_EQ(info.m_workspace, workspace_id("arusha"));
    EXPECT_EQ(info.m_workspace_weight, 2.0);
    EXPECT_EQ(info.m_class, configuration::work_class::ordinary);
    EXPECT_EQ(to_string(info.m_upstreams), "pool=gold,version=v2");
    EXPECT_EQ(info_of(document, alert()).m_class, configuration::work_class::urgent);
    EXPECT_EQ(to_string(info_of(document, alert()).m_upstreams), "service=alerts");
}

TEST(classify, gives_the_broker_the_calls_estimates_and_times)
{
    auto wanted = completion("ad-copy");
    wanted.m_prompt_tokens.m_count = 11;
    wanted.m_output_tokens.m_count = 7;
    wanted.m_prefix = {1, 2};
    wanted.m_content = fingerprint(5);
    const auto info = info_of(rules(), wanted);
    EXPECT_EQ(info.m_prompt_tokens.m_count, 11);
    EXPECT_EQ(info.m_output_tokens.m_count, 7);
    EXPECT_EQ(info.m_prefix, (std::vector<std::uint64_t>{1, 2}));
    EXPECT_EQ(info.m_fingerprint, fingerprint(5));
    EXPECT_EQ(info.m_arrival, time_point(std::chrono::seconds(100)));
    EXPECT_EQ(info.m_deadline, time_point(std::chrono::seconds(160)));
    EXPECT_TRUE(info.m_idempotent);
}

}  // namespace
}  // namespace dewbeam::entry
