// The HTTP server's limits, each with its own error; streamed answers; callers that go away.
#include "dewbeam/http"

#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <boost/asio/ssl.hpp>
#include <cstdio>
#include <future>
#include <memory>
#include <thread>

namespace dewbeam::http {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;

time_point present()
{
    return time_point(
        std::chrono::duration_cast<time_span>(std::chrono::steady_clock::now().time_since_epoch()));
}

/// A server on its own thread whose handler is set by each test.
class fixture : public testing::Test {
protected:
    void start(const server_limits& limits, request_handler handler, server_options options = {})
    {
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

    /// A server that tells its handler when requests may have been sent.
    void start_dated(request_handler handler)
    {
        server_options options;
        options.m_dates_requests = true;
        options.m_now = present;
        start({}, std::move(handler), options);
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

std::string chunked_request(const std::string& behind)
{
    return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + behind;
}

std::string repeated(std::string_view text, int times)
{
    std::string result;
    for (int i = 0; i < times; ++i) {
        result += text;
    }
    return result;
}

TEST_F(http_server, trailers_without_end_are_refused)
{
    start({}, always_ok());
    const auto answer =
        exchange_bytes(chunked_request("1\r\nx\r\n0\r\n" + repeated("A: b\r\n", 20'000)));
    EXPECT_TRUE(has(answer, " 431 ") && has(answer, "header_too_large")) << answer;
}

TEST_F(http_server, chunk_extension_without_end_is_refused)
{
    start({}, always_ok());
    const auto answer = exchange_bytes(chunked_request("1;" + std::string(100'000, 'e')));
    EXPECT_TRUE(has(answer, " 431 ") && has(answer, "header_too_large")) << answer;
}

TEST_F(http_server, header_of_too_many_fields_is_refused)
{
    server_limits limits;
    limits.m_most_header_fields = 20;
    start(limits, always_ok());
    const auto answer = exchange_bytes("GET / HTTP/1.1\r\n" + repeated("a:b\r\n", 21) + "\r\n");
    EXPECT_TRUE(has(answer, " 431 ") && has(answer, "too_many_fields")) << answer;
}

TEST_F(http_server, trailers_are_no_header_fields)
{
    std::string seen;
    start({}, [&](request&& wanted, const std::shared_ptr<exchange>& answer) {
        seen = std::string(find_field(wanted.m_fields, "Tenant"));
        answer->respond(json_response(200, wanted.m_body));
    });
    const auto answer = exchange_bytes(
        "POST / HTTP/1.1\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"
        "1\r\nx\r\n0\r\nTenant: t\r\n\r\n");
    EXPECT_TRUE(has(answer, " 200 ")) << answer;
    EXPECT_EQ(seen, "");
}

TEST_F(http_server, request_without_memory_for_it_may_come_again)
{
    server_options options;
    options.m_memory = std::make_shared<memory_budget>(64UL * 1024);
    start({}, always_ok(), options);
    const auto answer = exchange_bytes(
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" + std::string(199'999, 'b'));
    EXPECT_TRUE(has(answer, " 503 ") && has(answer, "memory_exhausted")) << answer;
    EXPECT_TRUE(has(answer, "Retry-After: 1.000")) << answer;
    EXPECT_EQ(options.m_memory->held_bytes(), 0U);
}

TEST_F(http_server, headers_that_are_not_whole_are_counted)
{
    server_limits limits;
    limits.m_most_header_bytes = 64UL * 1024;
    limits.m_read_limit = 500ms;
    server_options options;
    options.m_memory = std::make_shared<memory_budget>(100'000);
    start(limits, always_ok(), options);
    std::vector<asio::ip::tcp::socket> crowd;
    for (int i = 0; i < 4; ++i) {
        crowd.push_back(connect());
        asio::write(crowd.back(),
                    asio::buffer("GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(40'000, 'x')));
    }
    std::size_t refused = 0;
    for (auto& socket : crowd) {
        refused += has(read_all(socket), "memory_exhausted") ? 1 : 0;
    }
    EXPECT_GE(refused, 2U);
}

TEST_F(http_server, answer_that_is_not_taken_is_cut_for_want_of_memory)
{
    server_options options;
    options.m_memory = std::make_shared<memory_budget>(64UL * 1024);
    std::promise<void> gone;
    start(
        {},
        [&](request&&, const std::shared_ptr<exchange>& answer) {
            answer->on_gone([&] { gone.set_value(); });
            answer->start(200, {});
            answer->write(std::string(100'000, 'a'));
        },
        options);
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    EXPECT_EQ(gone.get_future().wait_for(10s), std::future_status::ready);
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

TEST_F(http_server, connection_that_has_been_idle_gives_way_to_a_new_one)
{
    server_limits limits;
    limits.m_most_connections = 1;
    start(limits, always_ok());
    auto idle = connect();
    asio::write(idle, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::string answer;
    const auto deadline = present() + 10s;
    while (!has(answer, " 200 ") && present() < deadline) {
        answer = exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    }
    EXPECT_TRUE(has(answer, " 200 ")) << answer;
    EXPECT_TRUE(has(read_all(idle), " 200 ")) << "it was closed behind its answer";
}

// Guards against a stop that ends the process while a request is being read.
TEST_F(http_server, request_that_is_being_read_is_unanswered_for_a_while_behind_a_stop)
{
    start({}, always_ok());
    const std::string head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n";
    auto in_time = connect();
    auto never = connect();
    asio::write(in_time, asio::buffer(head + "{"));
    asio::write(never, asio::buffer(head + "{"));
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    const auto wait_for_unanswered = [&](std::size_t count) {
        while (m_server->unanswered() != count && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(5ms);
        }
        EXPECT_EQ(m_server->unanswered(), count);
    };
    wait_for_unanswered(2);
    m_server->stop_accepting();
    EXPECT_EQ(m_server->unanswered(), 2U);
    asio::write(in_time, asio::buffer(std::string("}")));
    std::array<char, 12> begin{};
    asio::read(in_time, asio::buffer(begin));
    EXPECT_EQ(std::string(begin.data(), begin.size()), "HTTP/1.1 200");
    wait_for_unanswered(0);
}

// Guards against a stop that resets connections whose requests it has not read yet.
TEST_F(http_server, requests_that_lie_unread_when_it_stops_are_answered)
{
    std::promise<void> held;
    std::promise<void> go_on;
    start({}, [&](request&& wanted, const std::shared_ptr<exchange>& answer) {
        if (wanted.m_target == "/hold") {
            held.set_value();
            go_on.get_future().wait();
        }
        answer->respond(json_response(200, "{}"));
    });
    const auto ask = [](asio::ip::tcp::socket& socket, const std::string& target) {
        asio::write(socket, asio::buffer("GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n"));
    };
    const auto expect_answer = [](asio::ip::tcp::socket& socket) {
        std::string seen;
        boost::system::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(seen), "{}", error);
        EXPECT_TRUE(has(seen, "HTTP/1.1 200")) << error.message() << " " << seen;
    };
    auto kept = connect();
    ask(kept, "/");
    expect_answer(kept);
    auto holder = connect();
    ask(holder, "/hold");
    held.get_future().wait();
    ask(kept, "/");
    auto waiting = connect();  // the server's only thread can't accept it yet
    ask(waiting, "/");
    m_server->stop_accepting();
    go_on.set_value();
    expect_answer(holder);
    expect_answer(kept);
    expect_answer(waiting);
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (m_server->unanswered() > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_EQ(m_server->unanswered(), 0U);
    auto late = asio::ip::tcp::socket(m_client_context);
    boost::system::error_code refused;
    late.connect(
        asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), m_server->address().m_port),
        refused);
    EXPECT_TRUE(refused);
}

// Guards against a handler's exception that keeps the place of its connection for good.
TEST_F(http_server, handler_that_throws_frees_its_connection)
{
    server_limits limits;
    limits.m_most_connections = 2;
    std::atomic<int> released = 0;
    start(limits, [&](request&& wanted, const std::shared_ptr<exchange>& answer) {
        if (wanted.m_target == "/throws") {
            answer->on_gone([&] { ++released; });
            throw std::runtime_error("no such thing");
        }
        answer->respond(json_response(200, "{}"));
    });
    constexpr int rounds = 10;
    for (int i = 0; i < rounds; ++i) {
        const auto answer =
            exchange_bytes("GET /throws HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        EXPECT_TRUE(has(answer, " 500 ") && has(answer, "internal_error")) << answer;
    }
    EXPECT_EQ(released, rounds);
    const auto sound = exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    EXPECT_TRUE(has(sound, " 200 ")) << sound;
    EXPECT_EQ(m_server->unanswered(), 0U);
}

// Guards against an exception behind the begin of an answer that leaves its caller waiting.
TEST_F(http_server, handler_that_throws_cuts_the_answer_it_began)
{
    start({}, [](request&&, const std::shared_ptr<exchange>& answer) {
        answer->start(200, {});
        answer->write("begun");
        throw std::runtime_error("no such thing");
    });
    const auto answer = exchange_bytes("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE(has(answer, "begun")) << answer;
    EXPECT_FALSE(has(answer, "\r\n0\r\n\r\n")) << answer;
    EXPECT_EQ(m_server->unanswered(), 0U);
}

// Guards against a caller's end that throws and keeps the connection's place.
TEST_F(http_server, caller_end_that_throws_frees_its_connection)
{
    std::promise<void> is_called;
    start({}, [&](request&&, const std::shared_ptr<exchange>& answer) {
        answer->on_gone([&] {
            is_called.set_value();
            throw std::runtime_error("no such thing");
        });
    });
    {
        auto socket = connect();
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        std::this_thread::sleep_for(50ms);
    }
    ASSERT_EQ(is_called.get_future().wait_for(5s), std::future_status::ready);
    const auto deadline = std::chrono::steady_clock::now() + 5s;
    while (m_server->connections() > 0 && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(5ms);
    }
    EXPECT_EQ(m_server->connections(), 0U);
    EXPECT_EQ(m_server->unanswered(), 0U);
}

// Guards against a handler's exception behind which an exchange never ends.
TEST_F(http_server, client_handler_that_throws_ends_its_exchange)
{
    start({}, always_ok());
    for (const bool fails_at_head : {true, false}) {
        client one(m_client_context, m_server->address(), {});
        absl::Status ended;
        client_handlers handlers;
        handlers.m_on_head = [&](int, const fields&) {
            if (fails_at_head) {
                throw std::runtime_error("no such thing");
            }
        };
        handlers.m_on_data = [](std::string) { throw std::runtime_error("no such thing"); };
        handlers.m_on_end = [&](const absl::Status& result, progress) { ended = result; };
        one.start({"GET", "/", {}, {}}, std::move(handlers));
        m_client_context.run();
        m_client_context.restart();
        EXPECT_TRUE(absl::IsInternal(ended)) << ended;
    }
}

// Guards against a request that waited while the server stood still and passes for a new one.
TEST_F(http_server, requests_that_waited_for_the_server_are_dated_before_the_wait)
{
    std::promise<time_point> sent_after;
    start_dated([&](request&& wanted, const std::shared_ptr<exchange>& answer) {
        sent_after.set_value(wanted.m_sent_after);
        answer->respond(json_response(200, "{}"));
    });
    auto socket = connect();
    std::this_thread::sleep_for(300ms);
    const auto held_up_from = present();
    asio::post(m_context, [] { std::this_thread::sleep_for(800ms); });
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    EXPECT_LE(sent_after.get_future().get(), held_up_from);
}

// Guards against a first request that a broken link held back and that passes for a new one.
TEST_F(http_server, first_requests_are_dated_from_the_opening_of_their_connection)
{
    std::vector<time_span> ages;
    start_dated([&](request&& wanted, const std::shared_ptr<exchange>& answer) {
        ages.push_back(present() - wanted.m_sent_after);
        answer->respond(json_response(200, "{}"));
    });
    auto socket = connect();
    std::array<char, 4096> piece{};
    for (int i = 0; i < 2; ++i) {
        std::this_thread::sleep_for(300ms);
        asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
        socket.read_some(asio::buffer(piece));
    }
    ASSERT_EQ(ages.size(), 2U);
    EXPECT_GE(ages[0], 250ms);
    EXPECT_LT(ages[1], 250ms) << "of later ones it isn't known";
}

// Guards against a request that waited behind another one and passes for a new one.
TEST_F(http_server, requests_sent_ahead_are_dated_from_the_request_before)
{
    std::vector<time_span> ages;
    start_dated([&](request&& wanted, const std::shared_ptr<exchange>& answer) {
        ages.push_back(present() - wanted.m_sent_after);
        auto delay = std::make_shared<asio::steady_timer>(m_context, 300ms);
        delay->async_wait([delay, answer](const boost::system::error_code&) {
            answer->respond(json_response(200, "{}"));
        });
    });
    const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n";
    exchange_bytes(get + "\r\n" + get + "Connection: close\r\n\r\n");
    ASSERT_EQ(ages.size(), 2U);
    EXPECT_LT(ages[0], 250ms);
    EXPECT_GE(ages[1], 250ms);
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

TEST_F(http_server, caller_of_http_1_0_gets_the_bytes_of_a_stream_alone)
{
    start({}, [](request&&, const std::shared_ptr<exchange>& answer) {
        answer->start(200, {});
        answer->write("one ");
        answer->write("two");
        answer->finish();
    });
    const auto answer =
        exchange_bytes("GET / HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
    EXPECT_TRUE(answer.ends_with("\r\n\r\none two")) << answer;
    EXPECT_FALSE(has(answer, "chunked")) << answer;
}

TEST_F(http_server, aborted_stream_without_a_frame_is_reset)
{
    start({}, [](request&&, const std::shared_ptr<exchange>& answer) {
        answer->start(200, {});
        answer->write("part");
        answer->abort();
    });
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.0\r\nHost: a\r\n\r\n")));
    std::array<char, 4096> bytes{};
    boost::system::error_code error;
    while (!error) {
        socket.read_some(asio::buffer(bytes), error);
    }
    EXPECT_EQ(error, asio::error::connection_reset) << error.message();
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

/// What a caller sends and does before it goes away.
struct departure {
    const char* m_name;
    std::string m_sent_behind;  ///< behind its request
    bool m_resets = false;      ///< else it closes
};

class http_departure : public fixture, public testing::WithParamInterface<departure> {};

// Guards against work for callers that have left: their end must be seen behind whatever they sent.
TEST_P(http_departure, is_reported)
{
    std::promise<void> taken;
    std::promise<void> gone;
    std::shared_ptr<exchange> kept;
    start({}, [&](request&&, const std::shared_ptr<exchange>& answer) {
        kept = answer;
        answer->on_gone([&] { gone.set_value(); });
        taken.set_value();
    });
    auto socket = connect();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    ASSERT_EQ(taken.get_future().wait_for(10s), std::future_status::ready);
    asio::write(socket, asio::buffer(GetParam().m_sent_behind));
    // The server takes note of these bytes before the end comes.
    std::this_thread::sleep_for(50ms);
    if (GetParam().m_resets) {
        socket.set_option(asio::socket_base::linger(true, 0));
    }
    socket.close();
    EXPECT_EQ(gone.get_future().wait_for(2s), std::future_status::ready);
}

INSTANTIATE_TEST_SUITE_P(
    all, http_departure,
    testing::Values(
        departure{"closes", ""}, departure{"resets", "", true},
        departure{"sends_a_line_end_and_closes", "\r\n"},
        departure{"sends_its_next_request_and_closes", "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n"},
        departure{"sends_its_next_request_and_resets", "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n", true},
        departure{"sends_a_large_request_and_closes",
                  "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 300000\r\n\r\n" +
                      std::string(300'000, 'x')}),
    [](const auto& one) { return one.param.m_name; });

// Guards against losing the requests that are sent before the answer to the one ahead of them.
TEST_F(http_server, requests_sent_ahead_are_answered_in_order)
{
    start({}, [this](request&& wanted, const std::shared_ptr<exchange>& answer) {
        auto pause = std::make_shared<asio::steady_timer>(m_context, 30ms);
        pause->async_wait([pause, answer, target = wanted.m_target,
                           size = wanted.m_body.size()](const boost::system::error_code&) {
            answer->respond(json_response(200, target + ":" + std::to_string(size) + ";"));
        });
    });
    const std::string large(300'000, 'x');
    const auto answers = exchange_bytes(
        "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nPOST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 300000"
        "\r\n\r\n" +
        large + "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto first = answers.find("/1:0;");
    const auto second = answers.find("/2:300000;");
    const auto third = answers.find("/3:0;");
    EXPECT_NE(third, std::string::npos) << answers;
    EXPECT_TRUE(first < second && second < third) << answers;
}

/// A server behind TLS, with a certificate of its own making.
class https_server : public fixture {
protected:
    using tls_socket = asio::ssl::stream<asio::ip::tcp::socket>;

    https_server()
    {
        m_options.m_certificate_file = testing::TempDir() + "http_test_certificate.pem";
        m_options.m_key_file = testing::TempDir() + "http_test_key.pem";
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key(EVP_EC_gen("P-256"),
                                                                      EVP_PKEY_free);
        const std::unique_ptr<X509, decltype(&X509_free)> certificate(X509_new(), X509_free);
        constexpr long lifetime_s = 3600;
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), 0);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), lifetime_s);
        X509_set_pubkey(certificate.get(), key.get());
        X509_sign(certificate.get(), key.get(), EVP_sha256());
        const file_pointer certificate_file = open(m_options.m_certificate_file);
        PEM_write_X509(certificate_file.get(), certificate.get());
        const file_pointer key_file = open(m_options.m_key_file);
        PEM_write_PrivateKey(key_file.get(), key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    }

    tls_socket connect_tls()
    {
        tls_socket socket(m_client_context, m_tls);
        socket.next_layer() = connect();
        socket.handshake(tls_socket::client);
        return socket;
    }

    server_options m_options;

private:
    using file_pointer = std::unique_ptr<std::FILE, int (*)(std::FILE*)>;

    static file_pointer open(const std::string& path)
    {
        return {std::fopen(path.c_str(), "w"), &std::fclose};
    }

    asio::ssl::context m_tls{asio::ssl::context::tls_client};
};

TEST_F(https_server, caller_that_ends_its_session_is_reported)
{
    std::promise<void> taken;
    std::promise<void> gone;
    std::shared_ptr<exchange> kept;
    start(
        {},
        [&](request&&, const std::shared_ptr<exchange>& answer) {
            kept = answer;
            answer->on_gone([&] { gone.set_value(); });
            taken.set_value();
        },
        m_options);
    auto socket = connect_tls();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    ASSERT_EQ(taken.get_future().wait_for(10s), std::future_status::ready);
    asio::write(socket, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::this_thread::sleep_for(50ms);
    socket.async_shutdown([](const boost::system::error_code&) {});  // sends close_notify
    m_client_context.poll();
    EXPECT_EQ(gone.get_future().wait_for(2s), std::future_status::ready);
}

// Guards against the limit of one write ending a connection that is read from meanwhile.
TEST_F(https_server, stream_that_outlasts_the_write_limit_goes_on)
{
    server_limits limits;
    limits.m_write_limit = 100ms;
    start(
        limits,
        [this](request&&, const std::shared_ptr<exchange>& answer) {
            answer->start(200, {});
            answer->write("first;");
            auto pause = std::make_shared<asio::steady_timer>(m_context, 500ms);
            pause->async_wait([pause, answer](const boost::system::error_code&) {
                answer->write("last;");
                answer->finish();
            });
        },
        m_options);
    auto socket = connect_tls();
    asio::write(socket, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    std::this_thread::sleep_for(50ms);
    asio::write(socket, asio::buffer(std::string("GET /2 HTTP/1.1\r\nHost: a\r\n"
                                                 "Connection: close\r\n\r\n")));
    std::string answers;
    boost::system::error_code error;
    asio::read(socket, asio::dynamic_buffer(answers), error);
    const auto first = answers.find("last;");
    EXPECT_NE(first, std::string::npos) << answers;
    EXPECT_NE(answers.find("last;", first + 1), std::string::npos) << answers;
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

TEST_F(http_server, client_tells_of_the_end_of_an_idle_connection)
{
    start({}, [](const request&, const std::shared_ptr<exchange>& answer) {
        answer->respond(json_response(200, "{}"));
    });
    int answered = 0;
    int ended = 0;
    client_options options;
    options.m_on_idle_end = [&] { ++ended; };
    client target(m_client_context, m_server->address(), options);
    for (int i = 1; i <= 3; ++i) {
        call(target, {"GET", "/", {}, {}},
             [&](const absl::StatusOr<response>& answer) { answered += answer.ok() ? 1 : 0; });
        while (answered < i && m_client_context.run_one_for(5s) > 0) {
        }
    }
    EXPECT_EQ(answered, 3);
    EXPECT_EQ(ended, 0) << "the connection was used again, and is open";
    m_server->stop_accepting();
    m_client_context.run_for(5s);
    EXPECT_EQ(ended, 1);
}

TEST_F(http_server, client_sends_nothing_of_a_request_that_may_not_be_sent_any_more)
{
    std::atomic<int> received = 0;
    start({}, [&](request&&, const std::shared_ptr<exchange>& answer) {
        ++received;
        answer->respond(json_response(200, "{}"));
    });
    asio::io_context context;
    client caller(context, m_server->address(), {});
    for (const bool is_connection_kept : {false, true}) {
        if (is_connection_kept) {
            client_handlers first;
            first.m_on_head = [](int, const fields&) {};
            first.m_on_data = [](std::string) {};
            first.m_on_end = [](const absl::Status&, progress) {};
            caller.start({"GET", "/", {}, ""}, std::move(first));
            context.restart();
            context.run();
        }
        absl::Status result;
        auto how_far = progress::sent;
        client_handlers handlers;
        handlers.m_may_send = [] { return false; };
        handlers.m_on_end = [&](const absl::Status& status, progress reached) {
            result = status;
            how_far = reached;
        };
        caller.start({"GET", "/", {}, ""}, std::move(handlers));
        context.restart();
        context.run();
        EXPECT_TRUE(absl::IsFailedPrecondition(result)) << result;
        EXPECT_EQ(how_far, progress::not_sent);
        EXPECT_EQ(received, is_connection_kept ? 1 : 0);
    }
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

/// A server of one connection that takes a request and then sends `head` once and `repeated` until
/// its peer closes, with `pause` between.
class endless_server {
public:
    endless_server(std::string head, std::string repeated, time_span pause = time_span::zero())
        : m_acceptor(m_context, {asio::ip::make_address("127.0.0.1"), 0}),
          m_thread([this, head = std::move(head), repeated = std::move(repeated), pause] {
              asio::ip::tcp::socket socket(m_context);
              m_acceptor.accept(socket);
              std::array<char, 4096> request{};
              socket.read_some(asio::buffer(request));
              boost::system::error_code error;
              asio::write(socket, asio::buffer(head), error);
              while (!error) {
                  m_sent += asio::write(socket, asio::buffer(repeated), error);
                  std::this_thread::sleep_for(pause);
              }
          })
    {
    }

    ~endless_server() { m_thread.join(); }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    endless_server(endless_server&&) = delete;
    endless_server& operator=(endless_server&&) = delete;

    [[nodiscard]] endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::atomic<std::size_t> m_sent = 0;
    std::thread m_thread;
};

client_options small_answers()
{
    client_options result;
    result.m_most_answer_bytes = 64UL * 1024;
    return result;
}

TEST(http_client, interim_answers_are_skipped)
{
    endless_server server(
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
        " ");
    const auto answer = fetch(server.address(), {"GET", "/", {}, ""});
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->m_status, 200);
    EXPECT_EQ(answer->m_body, "ok");
}

struct endless_answer {
    const char* m_name;
    std::string m_head;
    std::string m_repeated;
};

class http_client_reads : public testing::TestWithParam<endless_answer> {};

TEST_P(http_client_reads, no_answer_without_end)
{
    endless_server server(GetParam().m_head, GetParam().m_repeated);
    const auto answer = fetch(server.address(), {"GET", "/", {}, ""}, small_answers());
    EXPECT_TRUE(absl::IsResourceExhausted(answer.status())) << answer.status();
}

const std::string answer_head = "HTTP/1.1 200 OK\r\n";
const std::string block(4096, 'z');

INSTANTIATE_TEST_SUITE_P(
    kinds, http_client_reads,
    testing::Values(endless_answer{"interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
                    endless_answer{"head", answer_head, "X-More: " + block + "\r\n"},
                    endless_answer{"length", answer_head + "Content-Length: 65537\r\n\r\n", block},
                    endless_answer{"chunks", answer_head + "Transfer-Encoding: chunked\r\n\r\n",
                                   "1000\r\n" + block + "\r\n"},
                    endless_answer{"close", answer_head + "\r\n", block}),
    [](const auto& value) { return std::string(value.param.m_name); });

TEST(http_client, server_that_sends_a_byte_now_and_then_is_silent_after_the_answer_limit)
{
    endless_server server(answer_head + "\r\n", "z", 10ms);
    client_options options;
    options.m_silence_limit = 1s;
    options.m_answer_limit = 200ms;
    const auto answer = fetch(server.address(), {"GET", "/", {}, ""}, options);
    EXPECT_TRUE(absl::IsDeadlineExceeded(answer.status())) << answer.status();
}

}  // namespace
}  // namespace dewbeam::http
