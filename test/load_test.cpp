// The load generator: experiments, the checks of answers, resends and results.
#include "dewbeam/load"

#include <gtest/gtest.h>

#include <boost/asio/executor_work_guard.hpp>
#include <map>
#include <thread>

#include "dewbeam/fake_engine"
#include "dewbeam/http"

namespace dewbeam::load {
namespace {

using json = nlohmann::json;

json experiment_source()
{
    return json::parse(R"({
        "entries": ["127.0.0.1:1"], "seed": 7, "most_requests": 40, "most_resends": 1,
        "arrivals": {"kind": "poisson", "rate": 2000, "duration_ms": 1000},
        "work": [{"name": "briefs", "model": "copy", "share": 3,
                  "workspaces": [{"name": "arusha", "share": 4}, {"name": "mwanza"}],
                  "prompt_words": [1, 4], "output_tokens": [2, 5]},
                 {"name": "tags", "path": "/services/tags/check", "stream": false}]})");
}

experiment read(const json& source)
{
    const auto parsed = parse_experiment(source);
    EXPECT_TRUE(parsed.m_mistakes.empty()) << to_string(parsed.m_mistakes);
    return parsed.m_experiment;
}

TEST(load, refuses_what_is_wrong_by_path)
{
    auto source = experiment_source();
    source["entries"] = {"10.0.0.1:80", "127.0.0.1:80"};
    source["arrivals"]["rate"] = 0;
    source["work"][0]["prompt_words"] = {4, 1};
    source["work"][1]["colour"] = 1;
    std::vector<std::string> paths;
    for (const auto& item : parse_experiment(source).m_mistakes) {
        paths.push_back(item.m_path);
    }
    EXPECT_EQ(paths, (std::vector<std::string>{"/entries", "/arrivals/rate", "/work/0/prompt_words",
                                               "/work/1/colour"}));
    EXPECT_FALSE(parse_experiment(json()).m_mistakes.empty());
}

TEST(load, plans_the_same_for_the_same_seed)
{
    auto source = experiment_source();
    const auto first = plan_requests(read(source));
    const auto again = plan_requests(read(source));
    ASSERT_EQ(first.size(), 40U);
    for (std::size_t i = 0; i < first.size(); ++i) {
        EXPECT_EQ(first[i].m_prompt, again[i].m_prompt);
        EXPECT_EQ(first[i].m_at, again[i].m_at);
        EXPECT_TRUE(i == 0 || first[i].m_at >= first[i - 1].m_at);
    }
    source["arrivals"] = {{"kind", "recorded"}, {"at_ms", {0, 1.5, 9}}};
    const auto recorded = plan_requests(read(source));
    ASSERT_EQ(recorded.size(), 3U);
    EXPECT_EQ(recorded[1].m_at, std::chrono::microseconds(1500));
}

/// Events as the stand-in of an engine sends them.
std::string stream_of(const std::string& prompt, std::uint64_t count, const char* end)
{
    std::string body;
    for (std::uint64_t i = 0; i < count; ++i) {
        const json choice{
            {"delta", {{"content", fake_engine::answer_word(stable_hash(prompt + "\n"), i)}}}};
        body += "data: " + json{{"choices", json::array({choice})}}.dump() + "\n\n";
    }
    return body + end;
}

TEST(load, judges_streams)
{
    work kind;
    kind.m_model = "copy";
    const planned_request planned{{}, 0, "", "m", "m hello", 3};
    constexpr const char* done = "data: [DONE]\n\n";
    const auto judge = [&](const std::string& body) { return judge_stream(kind, planned, body); };
    const auto whole = stream_of("m hello", 3, done);
    EXPECT_EQ(judge(whole), verdict::right);
    EXPECT_EQ(judge(stream_of("m hello", 3, "")), verdict::truncated);
    EXPECT_EQ(judge(stream_of("m hello", 2, done)), verdict::truncated);
    EXPECT_EQ(judge(stream_of("m hello", 4, done)), verdict::repeated);
    EXPECT_EQ(judge(whole + whole), verdict::repeated);
    EXPECT_EQ(judge(stream_of("n hello", 3, done)), verdict::foreign);
    EXPECT_EQ(judge(stream_of("m hello", 2, "data: {\"error\": {}}\n\n")),
              verdict::ended_with_error);
    EXPECT_EQ(judge("data: 5\n\n"), verdict::malformed);
    EXPECT_EQ(judge(whole.substr(0, whole.size() - 1)), verdict::truncated);
}

/// A server on the loopback with its own thread.
class test_server {
public:
    explicit test_server(http::request_handler handler)
        : m_server(http::server::start(
                       m_context, {{"127.0.0.1", 0}, {}, "", "", false, nullptr, {}},
                       std::move(handler),
                       [](int, std::string_view, std::string_view) { return std::string(); })
                       .value()),
          m_thread([this] { m_context.run(); })
    {
    }

    ~test_server()
    {
        m_context.stop();
        m_thread.join();
    }

    test_server(const test_server&) = delete;
    test_server& operator=(const test_server&) = delete;
    test_server(test_server&&) = delete;
    test_server& operator=(test_server&&) = delete;

    [[nodiscard]] std::string address() const { return to_string(m_server->address()); }

private:
    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_guard{
        m_context.get_executor()};
    std::unique_ptr<http::server> m_server;
    std::thread m_thread;
};

/// A right answer to a request, as a stand-in would give it.
void answer(const http::request& request, http::exchange& out, const std::string& prompt_prefix)
{
    const auto body = json::parse(request.m_body);
    if (!body.contains("messages")) {
        out.respond(http::json_response(200, json{{"echo", request.m_body}}.dump()));
        return;
    }
    const auto prompt = prompt_prefix + body["messages"][0]["content"].get<std::string>();
    out.start(200, {{"Content-Type", "text/event-stream"}});
    out.write(stream_of(prompt, body["max_tokens"], "data: [DONE]\n\n"));
    out.finish();
}

results run_against(const http::request_handler& handler)
{
    const test_server server(handler);
    auto source = experiment_source();
    source["entries"] = {server.address()};
    return run(read(source));
}

TEST(load, counts_right_answers_and_fills_histograms)
{
    const auto found =
        run_against([](http::request&& request, const auto& out) { answer(request, *out, ""); });
    EXPECT_EQ(count(found, ending::answered), 40U);
    EXPECT_EQ(to_json(found)["work"][0]["whole"]["count"],
              found.m_work[0].m_endings[static_cast<std::size_t>(ending::answered)]);
    EXPECT_GT(quantile(found.m_work[0].m_whole, 0.5), 0.0);
    EXPECT_NE(to_html(found).find("own, whole,"), std::string::npos);
}

TEST(load, names_answers_of_other_requests)
{
    const auto found = run_against(
        [](http::request&& request, const auto& out) { answer(request, *out, "other "); });
    EXPECT_GT(count(found, ending::wrong), 0U);
    EXPECT_EQ(found.m_wrong.at(0).m_verdict, verdict::foreign);
    EXPECT_NE(to_html(found).find("wrong answers"), std::string::npos);
}

TEST(load, resends_as_retry_after_says_and_no_more_often_than_allowed)
{
    std::map<std::string, int> tries;  // touched by the server's thread alone
    const auto found = run_against([&](http::request&& request, const auto& out) {
        const bool is_first = ++tries[request.m_body] == 1;
        const bool is_plain = request.m_target.starts_with("/services");
        if (is_first || is_plain) {
            out->respond({503, {{"Retry-After", "0"}}, "{}"});
            return;
        }
        answer(request, *out, "");
    });
    EXPECT_EQ(count(found, ending::answered) + count(found, ending::refused), 40U);
    EXPECT_EQ(found.m_work[0].m_endings[0], found.m_work[0].m_resends);
    EXPECT_EQ(found.m_work[1].m_endings[0], 0U);
    EXPECT_EQ(found.m_work[0].m_resends + found.m_work[1].m_resends, 40U);
}

TEST(load, quantiles_lie_in_their_buckets)
{
    auto latencies = make_latency_histogram();
    EXPECT_EQ(quantile(latencies, 0.5), 0.0);
    for (int i = 1; i <= 1000; ++i) {
        latencies(static_cast<double>(i));
    }
    EXPECT_NEAR(quantile(latencies, 0.5), 500.0, 50.0);
    EXPECT_NEAR(quantile(latencies, 0.99), 990.0, 100.0);
}

}  // namespace
}  // namespace dewbeam::load
