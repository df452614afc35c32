// The HTTP server's limits, each with its own error; streamed answers; callers that go away.
#include "dewbeam/http"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <future>
#include <thread>

namespace dewbeam::http {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

/// A server on its own thread whose handler is set by each test.
class fixture : public testing::Test {
protected:
    void start(const server_limits& limits, request_handler handler)
    {
        server_options options;
        options.m_listen = {"127.0.0.1", 0};
        options.m_limits = limits;
        m_server = server::start(m_context, options, std::move(handler),
                                 [](int, std::string_view code, std::string_view) {
                                     return std::string(code);
                                 })
                       .value();
        m_thread = std::thread([this] {
            const auto keep_running = asio::make_work_guard(m_context);
            m_context.run();
        });
    }

    void TearDown() override
    {
        m_context.stop();
        m_thread.join();
    }

    asio::ip::tcp::socket connect()
    {
        asio::ip::tcp::socket socket(m_client_context);
        socket.connect({asio::ip::make_address("127.0.0.1"), m_server->address().m_port});
        return socket;
    }

    /// Sends bytes, then reads until the server closes.
    std::string exchange_bytes(const std::string& bytes)
    {
        auto socket = connect();
        boost::system::error_code ignored;
        asio::write(socket, asio::buffer(bytes), ignored);
        return read_all(socket);
    }

    static std::string read_all(asio::ip::tcp::socket& socket)
    {
        std::string answer;
        std::array<char, 4096> piece{};
        boost::system::error_code error;
        while (!error) {
            const auto got = socket.read_some(asio::buffer(piece), error);
            answer.append(piece.data(), got);
        }
        return answer;
    }

    static request_handler always_ok()
    {
        return [](request&&, const std::shared_ptr<exchange>& answer) {
            answer->respond(json_response(200, "{}"));
        };
    }

    asio::io_context m_context;
    asio::io_context m_client_context;
    std::unique_ptr<server> m_server;
    std::thread m_thread;
};

bool has(const std::string& answer, std::string_view text)
{
    return answer.find(text) != std::string::npos;
}

using http_server = fixture;

TEST_F(http_server, large_header_is_refused)
{
    server_limits limits;
    limits.m_most_header_bytes = 512;
    start(limits, always_ok());
    const auto answer =
        exchange_bytes("GET / HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n");
    EXPECT_TRUE(has(answer, " 431 ") && has(answer, "header_too_large")) << answer;
}

TEST_F(http_server, large_body_is_refused)
{
    server_limits limits;
    limits.m_most_body_bytes = 100;
    start(limits, always_ok());
    const auto answer =
        exchange_bytes("POST / HTTP/1.1\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x'));
    EXPECT_TRUE(has(answer, " 413 ") && has(answer, "body_too_large")) << answer;
}

TEST_F(http_server, slow_sender_is_refused)
{
    server_limits limits;
    limits.m_read_limit = 100ms;
    start(limits, always_ok());
    const auto answer = exchange_bytes("POST / HTTP/1.1\r\nContent-Le");
    EXPECT_TRUE(has(answer, " 408 ") && has(answer, "request_too_slow")) << answer;
}

TEST_F(http_server, other_protocols_are_refused)
{
    start({}, always_ok());
    const auto answer = exchange_bytes("\x16\x03\x01 hello\r\n\r\n");
    EXPECT_TRUE(has(answer, " 400 ") && has(answer, "bad_request")) << answer;
}

TEST_F(http_server, connection_beyond_the_limit_is_refused)
{
    server_limits limits;
    limits.m_most_connections = 1;
    start(limits, always_ok());
    auto first = connect();
    asio::write(first, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::array<char, 16> begin{};
    asio::read(first, asio::buffer(begin));
    const auto answer = exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(has(answer, " 503 ") && has(answer, "too_many_connections")) << answer;
}

TEST_F(http_server, slow_reader_is_cut_and_reported_gone)
{
    server_limits limits;
    limits.m_most_unsent_bytes = 64UL * 1024;
    std::atomic<bool> is_gone = false;
    start(limits, [&](request&&, const std::shared_ptr<exchange>& answer) {
        answer->on_gone([&] { is_gone = true; });
        answer->start(200, {});
        constexpr int pieces = 4096;
        for (int i = 0; i < pieces && !is_gone; ++i) {
            answer->write(std::string(16UL * 1024, 'x'));
        }
        answer->finish();
    });
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    const auto answer = read_all(socket);
    EXPECT_TRUE(is_gone);
    EXPECT_FALSE(answer.ends_with("0\r\n\r\n"));
}

TEST_F(http_server, aborted_stream_never_looks_finished)
{
    start({}, [](request&&, const std::shared_ptr<exchange>& answer) {
        answer->start(200, {});
        answer->write("part");
        answer->abort();
    });
    const auto answer = exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(has(answer, "part")) << answer;
    EXPECT_FALSE(answer.ends_with("0\r\n\r\n")) << answer;
}

TEST_F(http_server, address_stays_when_it_stops_accepting)
{
    start({}, always_ok());
    const auto before = m_server->address();
    m_server->stop_accepting();
    boost::system::error_code error;
    while (!error) {
        asio::ip::tcp::socket probe(m_client_context);
        probe.connect({asio::ip::make_address("127.0.0.1"), before.m_port}, error);
    }
    EXPECT_NE(before.m_port, 0);
    EXPECT_EQ(to_string(m_server->address()), to_string(before));
}

TEST_F(http_server, answer_aborted_before_its_first_byte_closes_the_connection)
{
    start({}, [](request&&, const std::shared_ptr<exchange>& answer) { answer->abort(); });
    EXPECT_EQ(exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "");
    EXPECT_EQ(exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n"), "");
}

TEST_F(http_server, caller_that_goes_away_is_reported_once)
{
    std::promise<void> gone;
    std::shared_ptr<exchange> kept;
    start({}, [&](request&&, const std::shared_ptr<exchange>& answer) {
        kept = answer;
        answer->on_gone([&] { gone.set_value(); });
    });
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    // The handler has surely run once a second request on another connection was taken.
    std::this_thread::sleep_for(50ms);
    socket.close();
    EXPECT_EQ(gone.get_future().wait_for(10s), std::future_status::ready);
}

TEST_F(http_server, client_reads_whole_answers_and_reuses_its_connection)
{
    start({}, [](request&& wanted, const std::shared_ptr<exchange>& answer) {
        answer->start(200, {{"X-Target", wanted.m_target}});
        answer->write(wanted.m_body);
        answer->finish();
    });
    const auto answer = fetch(m_server->address(), {"POST", "/a?b", {}, "hello"});
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->m_body, "hello");
    EXPECT_EQ(find_field(answer->m_fields, "x-target"), "/a?b");
}

TEST_F(http_server, client_sees_a_cut_answer_as_an_error)
{
    start({}, [](request&&, const std::shared_ptr<exchange>& answer) {
        answer->start(200, {});
        answer->write("part");
        answer->abort();
    });
    EXPECT_FALSE(fetch(m_server->address(), {"GET", "/", {}, ""}).ok());
}

// Guards against a server receiving, and running, a whole request after it was cancelled.
TEST(http_client, unsent_part_of_a_cancelled_request_is_not_delivered)
{
    asio::io_context server_context;
    asio::ip::tcp::acceptor acceptor(server_context);
    acceptor.open(asio::ip::tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();

    asio::io_context client_context;
    const auto keep_running = asio::make_work_guard(client_context);
    std::thread client_thread([&] { client_context.run(); });
    client client_under_test(client_context, {"127.0.0.1", acceptor.local_endpoint().port()}, {});
    constexpr std::size_t body_size = 256UL * 1024;
    request wanted;
    wanted.m_method = "POST";
    wanted.m_target = "/";
    wanted.m_body = std::string(body_size, 'x');
    std::promise<progress> ended;
    client_handlers handlers;
    handlers.m_on_head = [](int, const fields&) {};
    handlers.m_on_data = [](const std::string&) {};
    handlers.m_on_end = [&](const absl::Status&, progress how_far) { ended.set_value(how_far); };
    const auto running = client_under_test.start(std::move(wanted), std::move(handlers));
    asio::ip::tcp::socket accepted(server_context);
    acceptor.accept(accepted);
    accepted.wait(asio::ip::tcp::socket::wait_read);
    running->cancel();
    EXPECT_EQ(ended.get_future().get(), progress::sent);

    std::array<char, 4096> piece{};
    std::size_t received_bytes = 0;
    boost::system::error_code error;
    while (!error) {
        received_bytes += accepted.read_some(asio::buffer(piece), error);
    }
    EXPECT_LT(received_bytes, body_size);
    EXPECT_EQ(error, asio::error::connection_reset);
    client_context.stop();
    client_thread.join();
}

}  // namespace
}  // namespace dewbeam::http
