// The HTTP client: answers that stop in their head, and second copies of answers that come late.
#include <gtest/gtest.h>

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <thread>

#include "dewbeam/http"

namespace dewbeam::http {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

/// Answers the requests on each connection by the texts of its script, in order, then closes it.
class scripted_server {
public:
    explicit scripted_server(std::vector<std::string> script)
        : m_script(std::move(script)), m_acceptor(m_context, {asio::ip::address_v4::loopback(), 0})
    {
        m_thread = std::thread([this] { serve_all(); });
    }

    ~scripted_server()
    {
        m_is_stopping = true;
        tcp::socket last(m_context);
        boost::system::error_code ignored;
        last.connect(m_acceptor.local_endpoint(), ignored);
        m_thread.join();
        for (auto& thread : m_connections) {
            thread.join();
        }
    }

    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    scripted_server(scripted_server&&) = delete;
    scripted_server& operator=(scripted_server&&) = delete;

    [[nodiscard]] endpoint address() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    [[nodiscard]] std::size_t connections() const { return m_accepted; }

private:
    void serve_all()
    {
        for (;;) {
            tcp::socket socket(m_context);
            m_acceptor.accept(socket);
            if (m_is_stopping) {
                return;
            }
            ++m_accepted;
            m_connections.emplace_back([this, held = std::move(socket)]() mutable { serve(held); });
        }
    }

    void serve(tcp::socket& socket)
    {
        std::string request;
        for (const auto& answer : m_script) {
            boost::system::error_code error;
            asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n", error);
            if (error) {
                return;
            }
            request.clear();
            asio::write(socket, asio::buffer(answer), error);
        }
    }

    std::vector<std::string> m_script;
    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::atomic<bool> m_is_stopping = false;
    std::atomic<std::size_t> m_accepted = 0;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

/// What an exchange told its handlers.
struct exchange_log {
    int m_status = 0;  ///< 0: no head came
    std::string m_body;
    absl::Status m_end;
};

exchange_log run(asio::io_context& context, client& subject,
                 std::shared_ptr<connection_history> history = nullptr)
{
    exchange_log result;
    client_handlers handlers;
    handlers.m_on_head = [&](int status, const fields&) { result.m_status = status; };
    handlers.m_on_data = [&](const std::string& bytes) { result.m_body += bytes; };
    handlers.m_on_end = [&](const absl::Status& end, progress) { result.m_end = end; };
    subject.start({"GET", "/", {}, {}}, std::move(handlers), std::move(history));
    context.restart();
    context.run();
    return result;
}

const std::string sound_answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound";
const std::vector<std::string> heads{
    "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Proof: a\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Proof: a\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-Proof: a\r\n\r\n"};

// Guards against an answer whose head was cut and that ends as a whole one.
TEST(http_client, an_answer_cut_in_its_head_is_never_whole)
{
    for (const auto& head : heads) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            const scripted_server server({head.substr(0, cut)});
            asio::io_context context;
            client subject(context, server.address(), {});
            const auto seen = run(context, subject);
            EXPECT_FALSE(seen.m_end.ok()) << head.substr(0, cut);
            EXPECT_EQ(seen.m_status, 0) << head.substr(0, cut);
        }
    }
}

// The same on a kept connection.
TEST(http_client, an_answer_cut_in_its_head_behind_another_one_is_never_whole)
{
    for (const auto& head : heads) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            const scripted_server server({sound_answer, head.substr(0, cut)});
            asio::io_context context;
            client subject(context, server.address(), {});
            EXPECT_EQ(run(context, subject).m_body, "sound");
            const auto seen = run(context, subject);
            EXPECT_FALSE(seen.m_end.ok()) << head.substr(0, cut);
            EXPECT_EQ(seen.m_status, 0) << head.substr(0, cut);
            EXPECT_EQ(server.connections(), 1U);
        }
    }
}

// Guards against a late second copy of an answer that is taken for that to the next attempt.
TEST(http_client, exchanges_with_one_history_use_different_connections)
{
    const scripted_server server({sound_answer, sound_answer, sound_answer});
    asio::io_context context;
    client subject(context, server.address(), {});
    run(context, subject);
    run(context, subject);
    EXPECT_EQ(server.connections(), 1U) << "without a history the connection is used again";
    const auto history = std::make_shared<connection_history>();
    run(context, subject, history);
    EXPECT_EQ(server.connections(), 1U);
    EXPECT_EQ(run(context, subject, history).m_body, "sound");
    EXPECT_EQ(server.connections(), 2U);
    EXPECT_EQ(run(context, subject, history).m_body, "sound");
    EXPECT_EQ(server.connections(), 3U);
    run(context, subject);
    EXPECT_EQ(server.connections(), 3U) << "others use what was kept";
}

}  // namespace
}  // namespace dewbeam::http
