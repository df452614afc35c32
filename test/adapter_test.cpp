// The platform's names and formats, and bytes that are none of them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>

#include "platform/announcement_codec.h"
#include "platform/book_codec.h"
#include "platform/call_codec.h"
#include "platform/control_calls.h"
#include "platform/rank_codec.h"

namespace dewbeam::platform {
namespace {

const std::string book_text = R"({"version": 7, "routes": [
  {"name": "r1", "host": "Api.Example", "path-prefix": "/a/", "kind": "streaming",
   "timeout-ms": 8000, "target-latency-ms": 400, "priority": 1,
   "backends": [{"service": "s1", "weight": 90}, {"service": "s2", "weight": 10}],
   "max-attempts": 2, "stream-resume": true, "gap-aim-ms": 120},
  {"name": "r2", "host": "api.example", "path-prefix": "/b/", "kind": "unsafe",
   "timeout-ms": 1000, "service": "s2"}],
 "services": [{"name": "s1", "engine": {"sets": 4, "experts": 72, "places": 8, "spare": 3,
   "expert-mb": 2200.0, "link-mbps": 180000.0, "step_ms": 5.85, "stride": 5,
   "expert-share": 0.85}}, {"name": "s2"}],
 "tenants": [{"name": "t1", "api-keys": ["k1", "k2"], "priority": 1}]})";

http::request call()
{
    return {"POST",
            "/a/x?q=1",
            {{"Host", "api.example"},
             {"Attempt-Id", "id1"},
             {"Authorization", "Bearer k1"},
             {"Deadline-Ms", "8000"},
             {"Tenant", "forged"},
             {"Expect-Instance", "forged"},
             {"Connection", "keep-alive, X-Own"},
             {"X-Own", "1"},
             {"Transfer-Encoding", "chunked"},
             {"Token-Count", "1460,80"},
             {"Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"},
             {"Last-Event-Id", "4"}},
            "body"};
}

TEST(adapter, reads_a_callers_request)
{
    const auto read = read_call(call());
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->m_path, "/a/x");
    EXPECT_EQ(read->m_key, "k1");
    EXPECT_EQ(read->m_time_limit, std::chrono::seconds(8));
    EXPECT_EQ(read->m_prompt_tokens.m_count, 1460);
    EXPECT_EQ(read->m_output_tokens.m_count, 80);
    EXPECT_EQ(read->m_prompt_parts, (std::vector<std::uint64_t>{0x5c1e07a2, 0x91bd3f06}));
    auto wrong = call();
    wrong.m_fields[3].m_value = "soon";
    EXPECT_FALSE(read_call(wrong).ok());
}

TEST(adapter, passes_on_what_is_the_callers_and_nothing_else)
{
    gateway::forwarding added;
    added.m_upstream = upstream_id("i-1");
    added.m_workspace = workspace_id("t1");
    added.m_time_left = std::chrono::milliseconds(7990);
    added.m_priority = 12;
    const auto sent = to_upstream(call(), added);
    EXPECT_EQ(sent.m_target, "/a/x?q=1");
    EXPECT_EQ(sent.m_body, "body");
    EXPECT_EQ(http::find_field(sent.m_fields, "Host"), "api.example");
    EXPECT_EQ(http::find_field(sent.m_fields, "Attempt-Id"), "id1");
    EXPECT_EQ(http::find_field(sent.m_fields, "Tenant"), "t1");
    EXPECT_EQ(http::find_field(sent.m_fields, "Expect-Instance"), "i-1");
    EXPECT_EQ(http::find_field(sent.m_fields, "Deadline-Ms"), "7990");
    EXPECT_EQ(http::find_field(sent.m_fields, "Request-Priority"), "9");
    EXPECT_EQ(http::find_field(sent.m_fields, "Last-Event-Id"), "4");
    for (const auto* gone : {"Authorization", "Connection", "X-Own", "Transfer-Encoding"}) {
        EXPECT_EQ(http::find_field(sent.m_fields, gone), "") << gone;
    }
    added.m_last_event = 12;
    EXPECT_EQ(http::find_field(to_upstream(call(), added).m_fields, "Last-Event-Id"), "12");
}

TEST(adapter, tells_what_an_answers_head_states)
{
    const auto plain = read_answer_head(503, {});
    EXPECT_FALSE(plain.m_is_not_run) << "only its own field states that";
    EXPECT_TRUE(read_answer_head(503, {{"not-executed", "1"}}).m_is_not_run);
    EXPECT_TRUE(read_answer_head(421, {}).m_is_other_upstream);
    const auto stream = read_answer_head(
        200, {{"Content-Type", "text/event-stream"}, {"Response-Stamp", "s"}, {"Attempt-Id", "a"}});
    EXPECT_TRUE(stream.m_is_event_stream);
    EXPECT_TRUE(stream.m_is_proven);
    EXPECT_EQ(stream.m_request_id, "a");
    EXPECT_TRUE(to_caller_fields({{"Keep-Alive", "timeout=9"}, {"Content-Length", "4"}}).empty());
}

TEST(adapter, reads_the_rate_that_an_upstream_limits_itself_to)
{
    const auto limit = [](const char* text) {
        return read_answer_head(200, {{"server-limit", text}}).m_rate_limit;
    };
    EXPECT_FALSE(read_answer_head(200, {}).m_rate_limit.has_value());
    EXPECT_EQ(limit("1.1"), 1.1);
    EXPECT_EQ(limit("0"), 0.0);
    for (const char* bad : {"-1", "many", "inf", "1;2"}) {
        const auto read = limit(bad);
        ASSERT_TRUE(read.has_value()) << bad;
        EXPECT_TRUE(std::isnan(*read)) << bad;
    }
}

TEST(adapter, reads_a_configuration)
{
    const auto book = read_book(book_text);
    ASSERT_TRUE(book.ok()) << book.status();
    EXPECT_EQ(book->m_revision, revisions::revision_number(7));
    EXPECT_EQ(book->m_routes[0].m_host, "api.example");
    EXPECT_EQ(book->m_routes[0].m_targets.size(), 2U);
    EXPECT_TRUE(book->m_routes[0].m_is_resumable);
    EXPECT_EQ(book->m_routes[1].m_most_attempts, 1U);
    EXPECT_EQ(book->m_workspaces[0].m_keys.size(), 2U);
    const auto facts = read_engine_facts(book_text, "s1");
    ASSERT_TRUE(facts.ok());
    EXPECT_EQ(facts->m_expert_size.m_count, 2'200'000'000);
    EXPECT_EQ(facts->m_fetch_rate.m_count, 22'500'000'000);
    EXPECT_EQ(facts->m_timing.m_fixed, std::chrono::microseconds(29'250));
    EXPECT_EQ(facts->m_timing.m_expert_share, 0.85);
    EXPECT_EQ(facts->m_timing.m_pause_objective, std::chrono::milliseconds(120));
    EXPECT_FALSE(facts->m_has_priorities) << "one route leads there";
    auto text = book_text;
    const std::string second = R"("routes": [{"name": "r0", "host": "h", "path-prefix": "/c/", )"
                               R"("kind": "streaming", "timeout-ms": 8000, "priority": 2, )"
                               R"("service": "s1"},)";
    const std::string routes = R"("routes": [)";
    text.replace(text.find(routes), routes.size(), second);
    EXPECT_TRUE(read_engine_facts(text, "s1")->m_has_priorities);
    text.replace(text.find("streaming"), 9, "safe");
    EXPECT_FALSE(read_engine_facts(text, "s1")->m_has_priorities) << "not only streams";
    EXPECT_FALSE(read_engine_facts(book_text, "s2").ok());
}

TEST(adapter, refuses_every_invalid_configuration_and_names_the_place)
{
    const auto with = [](const std::string& from, const std::string& to) {
        auto text = book_text;
        text.replace(text.find(from), from.size(), to);
        return read_book(text);
    };
    EXPECT_NE(with("\"weight\": 90", "\"weight\": -1").status().message().find("weight"),
              std::string::npos);
    EXPECT_FALSE(with("\"timeout-ms\": 1000", "\"timeout-ms\": 0").ok());
    EXPECT_FALSE(with("\"timeout-ms\": 1000", "\"timeout-ms\": \"1\"").ok());
    EXPECT_FALSE(with("\"service\": \"s2\"}]", "\"service\": \"s3\"}]").ok());
    EXPECT_FALSE(with("\"/b/\"", "\"/a/\"").ok());
    EXPECT_FALSE(with("\"unsafe\"", "\"sometimes\"").ok());
    EXPECT_FALSE(with("\"service\": \"s2\"}],", "\"backends\": []}],").ok());
    EXPECT_FALSE(with("\"k2\"", "3").ok());
    EXPECT_FALSE(
        with("\"tenants\": [", "\"tenants\": [{\"name\": \"t2\", \"api-keys\": [\"k1\"]},").ok());
    EXPECT_FALSE(with("\"version\": 7", "\"version\": 7.5").ok());
    for (std::size_t size = 0; size < book_text.size(); ++size) {
        EXPECT_FALSE(read_book(std::string_view(book_text).substr(0, size)).ok()) << size;
    }
}

TEST(adapter, tells_calls_apart)
{
    using registrar::call_kind;
    const auto kind = [](const char* method, const char* target) {
        return classify({method, target, {}, {}}).m_kind;
    };
    EXPECT_EQ(kind("PUT", "/-/config"), call_kind::put_revision);
    EXPECT_EQ(kind("GET", "/-/config"), call_kind::read_revision);
    EXPECT_EQ(kind("POST", "/-/config"), call_kind::unknown);
    EXPECT_EQ(kind("PUT", "/-/instances/i-1"), call_kind::announce);
    EXPECT_EQ(kind("DELETE", "/-/instances/i-1"), call_kind::withdraw);
    EXPECT_EQ(kind("PUT", "/-/instances/"), call_kind::unknown);
    EXPECT_EQ(classify({"PUT", "/-/instances/i-1", {}, {}}).m_upstream, upstream_id("i-1"));
    EXPECT_TRUE(is_readiness_call({"GET", "/-/ready", {}, {}}));
    EXPECT_FALSE(is_readiness_call({"POST", "/-/ready", {}, {}}));
}

TEST(adapter, reads_announcements)
{
    const auto read = read_announcement(
        upstream_id("i-1"),
        R"({"service":"s1","address":"10.1.0.8:80","zone":"z1","version":"v1","slots":12,
            "state":"draining","sequence":4,"group":{"name":"g","epoch":2,"rank":3,
            "state":"broken"},"size":12})");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->m_state, registry::upstream_state::leaving);
    EXPECT_EQ(read->m_number, registry::announcement_number(4));
    EXPECT_TRUE(read->m_group->m_is_broken);
    EXPECT_FALSE(read_announcement(upstream_id("i-1"), R"({"service":"s1"})").ok());
    EXPECT_FALSE(read_announcement(upstream_id("i-1"),
                                   R"({"service":"s1","address":"x","zone":"z","slots":1,
                                       "state":"ready","sequence":1})")
                     .ok());
}

TEST(adapter, tells_the_lives_of_an_upstream_apart)
{
    const auto read = read_announcement(
        upstream_id("i-1"),
        R"({"service":"s1","address":"10.1.0.8:80","zone":"z1","slots":12,"state":"ready",
            "sequence":1,"born":1796000000123})");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->m_incarnation, incarnation(1'796'000'000'123));
    EXPECT_EQ(*read_withdrawal(""), incarnation{});
    EXPECT_EQ(*read_withdrawal(R"({"born":1796000000123})"), incarnation(1'796'000'000'123));
    EXPECT_FALSE(read_withdrawal(R"({"born":"soon"})").ok());
}

TEST(adapter, refuses_announcements_of_other_writers)
{
    const std::string right =
        R"({"service":"s1","address":"10.1.0.8:80","zone":"z1","slots":12,"state":"ready",)"
        R"("sequence":1,"born":1796000000123,"group":{"name":"g","epoch":2,"rank":3}})";
    const auto with = [&](const std::string& from, const std::string& to) {
        auto text = right;
        const auto place = text.find(from);
        return read_announcement(upstream_id("i-1"), text.replace(place, from.size(), to));
    };
    ASSERT_TRUE(with("s1", "s1").ok()) << with("s1", "s1").status();
    EXPECT_FALSE(with(R"("ready")", R"("resting")").ok()) << "a state that isn't known";
    EXPECT_FALSE(with(R"("ready")", "7").ok());
    EXPECT_FALSE(with(R"("s1")", R"(["s1"])").ok());
    EXPECT_FALSE(with(R"("service":"s1",)", "").ok());
    EXPECT_FALSE(with(R"("10.1.0.8:80")", R"({"ip":"10.1.0.8"})").ok());
    EXPECT_FALSE(with(R"("slots":12)", R"("slots":"12")").ok());
    EXPECT_FALSE(with(R"("slots":12)", R"("slots":4294967297)").ok());
    EXPECT_FALSE(with(R"("rank":3)", R"("rank":4294967299)").ok()) << "must not wrap around";
    EXPECT_FALSE(with(R"("sequence":1)", R"("sequence":-1)").ok());
    EXPECT_FALSE(with("1796000000123", "1796000000123.5").ok());
    EXPECT_FALSE(with("1796000000123", R"("1796000000123")").ok());
    EXPECT_FALSE(with(R"({"name":"g","epoch":2,"rank":3})", R"("g")").ok());
    EXPECT_FALSE(with(R"("s1")", "\"\xff\xfe\"").ok()) << "bytes that are no text";
}

TEST(adapter, reads_what_an_engine_says)
{
    const auto report = read_report(
        R"({"group":{"name":"g","epoch":1,"rank":2,"state":"open"},"size":12,"pace":1.5,"step":9,
            "map":4,"prepared":5,"armed":{"version":5,"step":14},"held":14})");
    ASSERT_TRUE(report.ok()) << report.status();
    EXPECT_EQ(report->m_map, 4U);
    EXPECT_EQ(report->m_prepared, 5U);
    EXPECT_EQ(report->m_armed->m_step, group_map::step_number(14));
    EXPECT_EQ(report->m_held, group_map::step_number(14));
    EXPECT_TRUE(report->m_is_open);
    const auto holding =
        read_holding(R"({"epoch":1,"map":{"version":0,"experts":[[0,12],[1]]},"prepared":null})");
    ASSERT_TRUE(holding.ok());
    EXPECT_EQ(holding->m_held[1], std::vector<std::uint32_t>{1});
    EXPECT_FALSE(read_holding(R"({"epoch":1,"map":{"version":0,"experts":[[-1]]}})").ok());
    EXPECT_EQ(read_counts(R"({"step":8,"epoch":1,"counts":[5,6]})")->m_counts.size(), 2U);
    EXPECT_FALSE(read_counts(R"({"step":8,"epoch":1,"counts":[5,-6]})").ok());
    EXPECT_EQ(read_order_result(202), ranks::order_result::done);
    EXPECT_EQ(read_order_result(412), ranks::order_result::fenced);
    EXPECT_EQ(read_order_result(409), ranks::order_result::refused);
    EXPECT_EQ(read_order_result(503), ranks::order_result::unclear);
}

/// A text that nearly is one of the platform's: some bytes of a right one changed or gone.
std::string spoil(std::string text, random_engine& random)
{
    const auto changes = 1 + uniform_below(random, 6);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const auto place = uniform_below(random, text.size());
        if (uniform_below(random, 2) == 0) {
            text.erase(place, 1 + uniform_below(random, 8));
        }
        else {
            text[place] = static_cast<char>(uniform_below(random, 256));
        }
    }
    return text;
}

// Guards against one report of an engine that makes its rank agent allocate without bound.
TEST(adapter, sizes_by_which_ranks_allocate_are_bounded)
{
    const auto report = [](const std::string& size) {
        return read_report(R"({"size":)" + size +
                           R"(,"group":{"name":"g","epoch":1,"rank":0,"state":"open"}})");
    };
    EXPECT_EQ(report("65536")->m_ranks, 65'536U);
    for (const auto* size : {"65537", "4294967295", "4294967296", "9223372036854775807"}) {
        EXPECT_TRUE(absl::IsInvalidArgument(report(size).status())) << size;
    }
    const auto facts = [](const std::string& name, const std::string& value) {
        return read_engine_facts(R"({"services":[{"name":"s1","engine":{"sets":1,")" + name +
                                     "\":" + value + "}}]}",
                                 "s1")
            .status();
    };
    for (const auto* name : {"sets", "experts", "places", "spare", "stride"}) {
        EXPECT_TRUE(absl::IsInvalidArgument(facts(name, "4294967295"))) << name;
    }
    EXPECT_TRUE(facts("expert-mb", "1e300").ok()) << "capped";
}

TEST(adapter, estimates_of_tokens_are_capped)
{
    auto request = call();
    for (auto& item : request.m_fields) {
        if (item.m_name == "Token-Count") {
            item.m_value = "9223372036854775807,9223372036854775807";
        }
    }
    const auto read = read_call(request);
    ASSERT_TRUE(read.ok());
    EXPECT_LE(read->m_prompt_tokens.m_count, 1'000'000'000);
}

RC_GTEST_PROP(adapter, any_bytes_are_read_or_refused, (std::uint64_t seed, std::string noise))
{
    random_engine random(seed);
    const auto near_book = spoil(book_text, random);
    for (const auto& text : {near_book, noise}) {
        read_book(text).status().IgnoreError();
        read_announcement(upstream_id("i"), text).status().IgnoreError();
        read_withdrawal(text).status().IgnoreError();
        read_report(text).status().IgnoreError();
        read_counts(text).status().IgnoreError();
        read_holding(text).status().IgnoreError();
        read_engine_facts(text, "s1").status().IgnoreError();
    }
    auto request = call();
    request.m_fields[uniform_below(random, request.m_fields.size())].m_value = noise;
    read_call(request).status().IgnoreError();
    to_upstream(request, {});
}

}  // namespace
}  // namespace dewbeam::platform
