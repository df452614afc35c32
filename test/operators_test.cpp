// The operator's tool against a tiny server that answers as controls and entries do.
#include "dewbeam/operators"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fstream>
#include <functional>
#include <thread>

namespace dewbeam::operators {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using json = nlohmann::json;
using tcp = asio::ip::tcp;

/// An answer; status 0 closes the connection without one.
struct answer {
    unsigned m_status = 200;
    json m_body;
};

/// Serves one request after the other on a free port of the loopback.
class tiny_server {
public:
    using handler = std::function<answer(const std::string& target, const json& body)>;

    explicit tiny_server(handler serve) : m_serve(std::move(serve)), m_thread([this] { loop(); }) {}

    ~tiny_server()
    {
        m_is_stopping = true;
        tcp::socket wake(m_context);
        boost::system::error_code ignored;
        wake.connect(m_acceptor.local_endpoint(), ignored);
        wake.close(ignored);
        m_thread.join();
    }

    tiny_server(const tiny_server&) = delete;
    tiny_server& operator=(const tiny_server&) = delete;
    tiny_server(tiny_server&&) = delete;
    tiny_server& operator=(tiny_server&&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

private:
    void loop()
    {
        while (!m_is_stopping) {
            auto socket = m_acceptor.accept();
            boost::beast::flat_buffer buffer;
            http::request<http::string_body> request;
            boost::system::error_code error;
            http::read(socket, buffer, request, error);
            if (!error) {
                reply(socket, request);
            }
        }
    }

    void reply(tcp::socket& socket, const http::request<http::string_body>& request)
    {
        const auto given =
            m_serve(std::string(request.target()), json::parse(request.body(), nullptr, false));
        if (given.m_status == 0) {
            return;
        }
        http::response<http::string_body> response(static_cast<http::status>(given.m_status), 11);
        response.body() = given.m_body.dump();
        response.prepare_payload();
        boost::system::error_code ignored;
        http::write(socket, response, ignored);
    }

    handler m_serve;
    asio::io_context m_context;
    tcp::acceptor m_acceptor{m_context, {asio::ip::make_address("127.0.0.1"), 0}};
    std::atomic<bool> m_is_stopping = false;
    std::thread m_thread;
};

/// A control that holds a real configuration store.
struct fake_control {
    configuration::store m_store;
    json m_members = json::array();
    int m_lost_answers = 0;
    bool m_has_quorum = true;

    answer serve(const std::string& target, const json& body)
    {
        if (target == "/v1/status") {
            return {200,
                    {{"host", "c1"},
                     {"role", "control"},
                     {"members", m_members},
                     {"quorum", m_has_quorum},
                     {"leader", "c1"},
                     {"cut_off", !m_has_quorum}}};
        }
        if (target == "/v1/configuration") {
            return {200,
                    {{"number", m_store.m_number},
                     {"version", {{"term", 1}, {"index", 7}}},
                     {"document", m_store.m_source}}};
        }
        return submit(body);
    }

    answer submit(const json& body)
    {
        if (!m_has_quorum) {
            return {503, json::object()};
        }
        const auto wanted = configuration::decode_change(body.dump()).value();
        const auto result = configuration::apply(m_store, wanted, {1, m_store.m_number + 1});
        if (m_lost_answers > 0) {
            --m_lost_answers;
            return {0, {}};
        }
        switch (result.m_status) {
            case configuration::change_status::accepted:
                return {200, {{"status", "accepted"}, {"number", result.m_number}}};
            case configuration::change_status::conflict:
                return {409, {{"number", result.m_number}, {"winner", result.m_winner}}};
            case configuration::change_status::invalid:
                break;
        }
        return {422, {{"mistakes", configuration::to_json(result.m_mistakes)}}};
    }
};

struct operators_test : testing::Test {
    fake_control m_control;
    tiny_server m_server{[this](const std::string& target, const json& body) {
        return m_control.serve(target, body);
    }};

    command_result call(std::vector<std::string> arguments, const std::string& input = "")
    {
        arguments.push_back("--control=" + m_server.address());
        const auto wanted = parse_command_line(arguments);
        EXPECT_TRUE(wanted.ok()) << wanted.status();
        return run(*wanted, input);
    }

    void add_agent(const char* host, const char* pool)
    {
        m_control.m_members.push_back({{"host", host},
                                       {"role", "agent"},
                                       {"upstream", host},
                                       {"labels", {{"pool", pool}}},
                                       {"models", {"copy"}},
                                       {"incarnation", 1}});
    }
};

constexpr const char* chat_rule = R"({"selectors": {"chat": {"when": "", "upstreams": "pool=a"}}})";

TEST_F(operators_test, applies_a_patch_and_gets_it_back)
{
    const auto applied = call({"apply", "-"}, chat_rule);
    EXPECT_EQ(applied.m_exit, exit_code::done) << applied.m_error;
    EXPECT_EQ(applied.m_output, "accepted as number 1\n");
    const auto got = json::parse(call({"get", "--output=json"}).m_output);
    EXPECT_EQ(got["number"], 1);
    EXPECT_EQ(got["document"], json::parse(chat_rule));
}

TEST_F(operators_test, resends_the_same_id_after_a_lost_answer)
{
    m_control.m_lost_answers = 2;
    const auto applied = call({"apply", "-"}, chat_rule);
    EXPECT_EQ(applied.m_exit, exit_code::done) << applied.m_error;
    EXPECT_EQ(m_control.m_store.m_number, 1U);
}

TEST_F(operators_test, names_the_winner_of_a_race_and_the_mistakes_of_a_change)
{
    call({"apply", "-", "--id=first", "--base=0"}, chat_rule);
    const auto loser = call({"apply", "-", "--id=second", "--base=0"}, R"({"selectors": null})");
    EXPECT_EQ(loser.m_exit, exit_code::refused);
    EXPECT_NE(loser.m_error.find("by the change first"), std::string::npos);
    const auto invalid = call({"apply", "-"}, R"({"selectors": {"x": {"when": "a in"}}})");
    EXPECT_EQ(invalid.m_exit, exit_code::refused);
    EXPECT_NE(invalid.m_error.find("/selectors/x/upstreams"), std::string::npos);
}

TEST_F(operators_test, without_quorum_it_ends_as_unreachable_and_tells_how_to_go_on)
{
    m_control.m_has_quorum = false;
    const auto applied = call({"apply", "-", "--id=mine", "--time-limit=200"}, chat_rule);
    EXPECT_EQ(applied.m_exit, exit_code::unreachable);
    EXPECT_NE(applied.m_error.find("--id=mine"), std::string::npos);
    EXPECT_NE(call({"status"}).m_output.find("CUT OFF"), std::string::npos);
}

TEST_F(operators_test, replaces_the_whole_document)
{
    call({"apply", "-"}, R"({"selectors": {"old": {"when": "", "upstreams": ""}}})");
    EXPECT_EQ(call({"apply", "-", "--replace"}, chat_rule).m_exit, exit_code::done);
    EXPECT_EQ(m_control.m_store.m_source, json::parse(chat_rule));
}

TEST_F(operators_test, plan_tells_stranded_requests_by_its_exit_code)
{
    add_agent("u1", "a");
    EXPECT_EQ(call({"plan", "-"}, chat_rule).m_exit, exit_code::done);
    const auto stranded = call({"plan", "-"}, R"({"selectors": {"x": {"when": "",
        "upstreams": "pool=b"}}})");
    EXPECT_EQ(stranded.m_exit, exit_code::stranded);
    EXPECT_NE(stranded.m_output.find("REQUESTS LEFT WITHOUT AN UPSTREAM"), std::string::npos);
    EXPECT_EQ(call({"plan", "-"}, R"({"x": 1})").m_exit, exit_code::refused);
    EXPECT_EQ(call({"plan", "/no/such/file"}).m_exit, exit_code::usage);
}

TEST_F(operators_test, drains_by_labels_alone_and_undoes_it)
{
    add_agent("u1", "a");
    call({"apply", "-"}, chat_rule);
    const auto drained = call({"drain", "pool = a"});
    EXPECT_EQ(drained.m_exit, exit_code::done) << drained.m_error;
    EXPECT_NE(drained.m_error.find("warning: no upstream is left"), std::string::npos);
    const auto rules = configuration::parse_document(m_control.m_store.m_source).m_document;
    ASSERT_EQ(rules.m_upstreams.size(), 1U);
    EXPECT_EQ(*rules.m_upstreams[0].m_labels.find("dewbeam/drain"), "true");
    EXPECT_EQ(call({"drain", "pool=a", "--undo"}).m_exit, exit_code::done);
    EXPECT_EQ(call({"drain", "pool=a", "--undo"}).m_exit, exit_code::refused);
    EXPECT_EQ(call({"drain", "pool in"}).m_exit, exit_code::usage);
}

TEST_F(operators_test, burn_merges_the_entries_and_names_the_missing)
{
    const auto now =
        std::chrono::floor<time_span>(std::chrono::system_clock::now().time_since_epoch());
    burn::state counts;
    burn::record(counts, {"chat<script>", "gold"}, {}, burn::outcome::served, {}, time_point(now));
    const auto serve = [&](const char* host) {
        return [&counts, host](const std::string&, const json&) {
            return answer{200, {{"host", host}, {"burn", burn::encode(counts)}}};
        };
    };
    tiny_server first(serve("e1"));
    tiny_server second(serve("e2"));
    m_control.m_members.push_back(
        {{"host", "e1"}, {"role", "entry"}, {"http_address", first.address()}});
    m_control.m_members.push_back(
        {{"host", "e3"}, {"role", "entry"}, {"dead", true}, {"http_address", "127.0.0.1:1"}});
    const auto entries = "--entry=" + first.address() + "," + second.address();
    const auto page = testing::TempDir() + "burn_page.html";
    const auto result = call({"burn", "--output=json", entries, "--html=" + page});
    EXPECT_EQ(result.m_exit, exit_code::done) << result.m_error;
    const auto report = json::parse(result.m_output);
    EXPECT_EQ(report["hosts"], json::array({"e1", "e2"}));
    EXPECT_EQ(report["missing"], json::array({"e3"}));
    EXPECT_EQ(report["series"][0]["objectives"][0]["windows"]["1h"]["requests"], 2);
    std::ifstream file(page);
    const std::string html{std::istreambuf_iterator<char>(file), {}};
    EXPECT_NE(html.find("not counted as good: e3"), std::string::npos);
    EXPECT_EQ(html.find("<script"), std::string::npos);
    EXPECT_EQ(html.find("http"), std::string::npos);  // nothing is loaded from elsewhere
}

TEST(operators, a_silent_server_ends_at_the_deadline)
{
    asio::io_context context;
    tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.1"), 0});
    const endpoint server{"127.0.0.1", silent.local_endpoint().port()};
    const auto reply = exchange(server, {}, {"GET", "/", {}, {}},
                                std::chrono::steady_clock::now() + std::chrono::milliseconds(50));
    EXPECT_TRUE(absl::IsUnknown(reply.status())) << reply.status();
    silent.close();
    EXPECT_TRUE(
        absl::IsUnavailable(exchange(server, {}, {"GET", "/", {}, {}},
                                     std::chrono::steady_clock::now() + std::chrono::seconds(5))
                                .status()));
}

TEST(operators, wrong_usage_is_refused)
{
    for (const std::vector<std::string>& arguments : {std::vector<std::string>{},
                                                      {"fly"},
                                                      {"plan"},
                                                      {"get", "--output=xml"},
                                                      {"get", "--control=here"},
                                                      {"get", "--time-limit=0"},
                                                      {"apply", "-", "--base=x"}}) {
        EXPECT_FALSE(parse_command_line(arguments).ok());
    }
    EXPECT_EQ(parse_command_line({"get", "--help"})->m_command, command_kind::help);
}

TEST(operators, keys_and_token_hashes)
{
    command_line wanted;
    wanted.m_command = command_kind::keys;
    EXPECT_EQ(json::parse(run(wanted, "").m_output)["public"].get<std::string>().size(), 40U);
    wanted.m_command = command_kind::token_hash;
    EXPECT_EQ(run(wanted, "abc\n").m_output,
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad\n");
    EXPECT_EQ(run(wanted, "\n").m_exit, exit_code::usage);
}

json any_document(int depth)
{
    json result = json::object();
    const auto count = *rc::gen::inRange(0, 4);
    for (int i = 0; i < count; ++i) {
        const auto key = *rc::gen::element<std::string>("a", "b", "c");
        const bool is_leaf = depth == 0 || *rc::gen::arbitrary<bool>();
        result[key] = is_leaf ? json(*rc::gen::inRange(0, 3)) : any_document(depth - 1);
    }
    return result;
}

RC_GTEST_PROP(operators, the_patch_between_two_documents_leads_from_one_to_the_other, ())
{
    const auto before = any_document(3);
    const auto after = any_document(3);
    auto patched = before;
    patched.merge_patch(patch_between(before, after));
    RC_ASSERT(patched == after);
}

}  // namespace
}  // namespace dewbeam::operators
