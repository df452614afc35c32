#include "dewbeam/src/http/client.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <mutex>
#include <optional>
#include <utility>
#include <vector>

#include "dewbeam/src/http/coroutines.h"

namespace dewbeam::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using internal::error_code;
using internal::reset_connection;
using internal::strand;
using internal::tcp;
using internal::to_value;

constexpr std::size_t piece_size = 16UL * 1024;
/// Interim answers (1xx) that may precede an answer. Without a limit, a server that sends nothing
/// else would hold the exchange for as long as it likes.
constexpr int max_interim_answers = 16;
constexpr unsigned first_final_status = 200;

using answer_parser = bhttp::response_parser<bhttp::buffer_body>;

/// A connection and what was read beyond the last answer.
struct client_connection {
    explicit client_connection(const strand& executor) : m_executor(executor), m_plain(executor)
    {
        static std::atomic<connection_number> last_number = 0;
        m_number = ++last_number;
    }

    beast::tcp_stream& lowest() { return m_tls ? m_tls->next_layer() : m_plain; }

    connection_number m_number = 0;
    strand m_executor;
    beast::tcp_stream m_plain;
    std::optional<beast::ssl_stream<beast::tcp_stream>> m_tls;
    beast::flat_buffer m_buffer;
    bool m_was_used = false;
    std::chrono::steady_clock::time_point m_idle_deadline{};  ///< while it is kept
};

using connection_pointer = std::unique_ptr<client_connection>;

bhttp::request<bhttp::string_body> to_beast(const request& source, const std::string& host)
{
    bhttp::request<bhttp::string_body> result;
    result.version(11);
    result.method_string(source.m_method);
    result.target(source.m_target);
    for (const auto& item : source.m_fields) {
        result.insert(item.m_name, item.m_value);
    }
    if (result.find(bhttp::field::host) == result.end()) {
        result.set(bhttp::field::host, host);
    }
    result.body() = source.m_body;
    result.prepare_payload();
    return result;
}

/// Lets the system find out that the other end is gone although nothing says so.
void watch_for_dead_peer(tcp::socket& socket, time_span limit)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
    const int most = static_cast<int>(std::max<std::int64_t>(1, milliseconds));
    constexpr int on = 1;
    constexpr int probe_every_s = 1;
    constexpr int probes = 2;
    const int handle = socket.native_handle();
    const bool is_set =
        ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &most, sizeof most) == 0 &&
        ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on) == 0 &&
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &probe_every_s, sizeof on) == 0 &&
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &probe_every_s, sizeof on) == 0 &&
        ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof on) == 0;
    if (!is_set) {
        log_event(log_level::warning, "dead_peer_watch_refused", {{"errno", errno}});
    }
}

/// The time for which a server says that it keeps an idle connection, less a margin; none where it
/// doesn't say.
std::optional<time_span> stated_idle_limit(const bhttp::response_header<>& head)
{
    constexpr std::string_view name = "timeout=";
    const auto stated = head[bhttp::field::keep_alive];
    const std::string_view text(stated.data(), stated.size());
    const auto place = text.find(name);
    if (place == std::string_view::npos) {
        return std::nullopt;
    }
    auto number = text.substr(place + name.size());
    number = number.substr(0, number.find_first_of(", ;"));
    std::uint32_t seconds = 0;
    if (!absl::SimpleAtoi(absl::string_view(number.data(), number.size()), &seconds)) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds) - keep_alive_margin;
}

fields to_fields(const bhttp::response_header<>& head)
{
    fields result;
    for (const auto& item : head) {
        result.push_back({std::string(item.name_string()), std::string(item.value())});
    }
    return result;
}

}  // namespace

struct client::shared : std::enable_shared_from_this<client::shared> {
    shared(asio::io_context& context, endpoint server, client_options options)
        : m_context(context), m_server(std::move(server)), m_options(std::move(options))
    {
    }

    /// The connection that was kept last and isn't in `history`; null if there is none.
    connection_pointer take_idle(const connection_history* history)
    {
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        std::erase_if(m_idle, [&](const auto& kept) { return kept->m_idle_deadline <= now; });
        const auto place =
            std::find_if(m_idle.rbegin(), m_idle.rend(), [&](const connection_pointer& kept) {
                return history == nullptr || !history->contains(kept->m_number);
            });
        if (place == m_idle.rend()) {
            return nullptr;
        }
        auto result = std::move(*place);
        m_idle.erase(std::next(place).base());
        return result;
    }

    void keep(connection_pointer connection)
    {
        const std::lock_guard lock(m_mutex);
        if (m_idle.size() < m_options.m_most_idle) {
            watch_idle(*connection);
            m_idle.push_back(std::move(connection));
        }
    }

    /// The wait lasts until the connection is used again or closed.
    void watch_idle(client_connection& kept)
    {
        if (!m_options.m_on_idle_end) {
            return;
        }
        kept.lowest().socket().async_wait(
            tcp::socket::wait_read, [weak = weak_from_this()](error_code error) {
                const auto self = weak.lock();
                if (!error && self) {
                    contain("http_client", self->m_options.m_on_idle_end);
                }
            });
    }

    asio::io_context& m_context;
    endpoint m_server;
    client_options m_options;
    std::optional<asio::ssl::context> m_tls;
    std::mutex m_mutex;
    std::vector<connection_pointer> m_idle;
};

namespace {

/// One request and its answer.
template <class Shared>
class running_exchange : public client_exchange,
                         public std::enable_shared_from_this<running_exchange<Shared>> {
public:
    running_exchange(std::shared_ptr<Shared> state, request wanted, client_handlers handlers,
                     std::shared_ptr<connection_history> history)
        : m_state(std::move(state)),
          m_request(to_beast(wanted, to_string(m_state->m_server))),
          m_handlers(std::move(handlers)),
          m_history(std::move(history)),
          m_connection(m_state->take_idle(m_history.get()))
    {
        if (!m_connection) {
            m_connection =
                std::make_unique<client_connection>(asio::make_strand(m_state->m_context));
        }
        m_executor.emplace(m_connection->m_executor);
    }

    void begin()
    {
        asio::co_spawn(
            *m_executor, [self = this->shared_from_this()]() { return self->run(); },
            asio::detached);
    }

    void cancel() override
    {
        m_is_cancelled = true;
        asio::post(*m_executor, [self = this->shared_from_this()] {
            if (self->m_connection) {
                reset_connection(self->m_connection->lowest().socket());
            }
        });
    }

private:
    asio::awaitable<void> run()
    {
        error_code error;
        try {
            error = co_await exchange_on_any_connection();
        }
        catch (const std::exception& thrown) {
            log_event(log_level::error, "handler_failed",
                      {{"where", "http_client"}, {"reason", thrown.what()}});
            m_has_failed = true;
            error = make_error_code(asio::error::fault);
        }
        end(error);
    }

    asio::awaitable<error_code> exchange_on_any_connection()
    {
        auto error = co_await exchange_once();
        const bool was_stale = error && !m_is_cancelled && !m_is_withdrawn &&
                               m_connection->m_was_used && !m_has_head && !m_may_have_sent;
        if (was_stale) {
            // The kept connection had been closed before a byte went out: a new one is safe.
            m_connection = std::make_unique<client_connection>(*m_executor);
            error = co_await exchange_once();
        }
        co_return error;
    }

    asio::awaitable<error_code> exchange_once()
    {
        error_code error;
        if (m_connection->m_was_used) {
            error_code ignored;
            m_connection->lowest().socket().cancel(ignored);  // ends the wait of `watch_idle`
            if (is_closed_by_peer()) {
                co_return make_error_code(asio::error::connection_reset);
            }
        }
        else {
            error = co_await connect();
        }
        if (error || m_is_cancelled) {
            co_return error ? error : make_error_code(asio::error::operation_aborted);
        }
        if (m_handlers.m_may_send && !m_handlers.m_may_send()) {
            m_is_withdrawn = true;
            co_return make_error_code(asio::error::operation_aborted);
        }
        m_may_have_sent = true;
        if (m_history) {
            m_history->add(m_connection->m_number);
        }
        if (m_connection->m_tls) {
            co_return co_await talk(*m_connection->m_tls);
        }
        co_return co_await talk(m_connection->m_plain);
    }

    bool is_closed_by_peer()
    {
        char byte = 0;
        const auto got = ::recv(m_connection->lowest().socket().native_handle(), &byte, 1,
                                MSG_PEEK | MSG_DONTWAIT);
        return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
    }

    asio::awaitable<error_code> connect()
    {
        error_code error;
        const auto& server = m_state->m_server;
        const tcp::endpoint target(asio::ip::make_address(server.m_ip), server.m_port);
        auto& plain = m_connection->m_plain;
        plain.expires_after(m_state->m_options.m_connect_limit);
        co_await plain.async_connect(target, to_value(error));
        if (error) {
            co_return error;
        }
        plain.socket().set_option(tcp::no_delay(true), error);
        watch_for_dead_peer(plain.socket(), m_state->m_options.m_dead_limit);
        if (m_state->m_tls) {
            m_connection->m_tls.emplace(std::move(plain), *m_state->m_tls);
            co_await m_connection->m_tls->async_handshake(asio::ssl::stream_base::client,
                                                          to_value(error));
        }
        co_return error;
    }

    void set_answer_deadline()
    {
        const auto limit = m_state->m_options.m_answer_limit;
        m_answer_deadline = limit == time_span::max() ? std::chrono::steady_clock::time_point::max()
                                                      : std::chrono::steady_clock::now() + limit;
    }

    /// Ends the exchange unless the server sends something within the silence limit.
    void expect_progress()
    {
        const auto silent_at =
            std::chrono::steady_clock::now() + m_state->m_options.m_silence_limit;
        m_connection->lowest().expires_at(std::min(silent_at, m_answer_deadline));
    }

    /// Reads heads until that of the final answer, which is left in `parser`. Interim answers are
    /// not for the caller of this client (RFC 9110, 15.2).
    template <class Stream>
    asio::awaitable<error_code> read_head(Stream& stream, std::optional<answer_parser>& parser)
    {
        error_code error;
        for (int interim = 0; interim <= max_interim_answers; ++interim) {
            parser.emplace();
            parser->body_limit(m_state->m_options.m_most_answer_bytes);
            co_await bhttp::async_read_header(stream, m_connection->m_buffer, *parser,
                                              to_value(error));
            if (error || parser->get().result_int() >= first_final_status) {
                co_return error;
            }
        }
        co_return bhttp::make_error_code(bhttp::error::header_limit);
    }

    template <class Stream>
    asio::awaitable<error_code> talk(Stream& stream)
    {
        error_code error;
        set_answer_deadline();
        expect_progress();
        co_await bhttp::async_write(stream, m_request, to_value(error));
        std::optional<answer_parser> final_answer;
        if (!error) {
            error = co_await read_head(stream, final_answer);
        }
        if (error) {
            co_return error;
        }
        auto& parser = *final_answer;
        m_has_head = true;
        m_idle_limit = std::min(m_state->m_options.m_idle_limit,
                                stated_idle_limit(parser.get().base()).value_or(time_span::max()));
        m_handlers.m_on_head(parser.get().result_int(), to_fields(parser.get().base()));
        std::string piece(piece_size, '\0');
        while (!parser.is_done() && !error) {
            parser.get().body().data = piece.data();
            parser.get().body().size = piece.size();
            expect_progress();
            co_await bhttp::async_read_some(stream, m_connection->m_buffer, parser,
                                            to_value(error));
            if (error == bhttp::error::need_buffer) {
                error = {};
            }
            const auto got = piece.size() - parser.get().body().size;
            if (!error && got > 0) {
                m_handlers.m_on_data(piece.substr(0, got));
            }
        }
        m_keep_alive = !error && parser.keep_alive();
        co_return error;
    }

    void end(error_code error)
    {
        const bool may_keep =
            !error && m_keep_alive && !m_is_cancelled && m_idle_limit > time_span::zero();
        if (may_keep && m_connection->m_buffer.size() == 0) {
            m_connection->m_was_used = true;
            m_connection->m_idle_deadline = std::chrono::steady_clock::now() + m_idle_limit;
            m_connection->lowest().expires_never();
            m_state->keep(std::move(m_connection));
        }
        m_connection.reset();
        const auto how_far = m_may_have_sent ? progress::sent : progress::not_sent;
        const auto handlers = std::exchange(m_handlers, {});
        contain("http_client", [&] { handlers.m_on_end(to_status(error), how_far); });
    }

    absl::Status to_status(error_code error) const
    {
        if (!error) {
            return absl::OkStatus();
        }
        if (m_is_cancelled) {
            return absl::CancelledError("the exchange was cancelled");
        }
        if (m_has_failed) {
            return absl::InternalError("a handler of the answer failed");
        }
        if (m_is_withdrawn) {
            return absl::FailedPreconditionError("the request may not be sent any more");
        }
        if (error == beast::error::timeout) {
            return absl::DeadlineExceededError("the server was silent for too long");
        }
        if (error == bhttp::error::body_limit) {
            return absl::ResourceExhaustedError(absl::StrCat("the answer's body is larger than ",
                                                             m_state->m_options.m_most_answer_bytes,
                                                             " bytes"));
        }
        if (error == bhttp::error::header_limit) {
            return absl::ResourceExhaustedError("the answer's head is too large");
        }
        return absl::UnavailableError(error.message());
    }

    std::shared_ptr<Shared> m_state;
    bhttp::request<bhttp::string_body> m_request;
    client_handlers m_handlers;
    std::shared_ptr<connection_history> m_history;  ///< may be null
    connection_pointer m_connection;
    std::optional<strand> m_executor;
    std::atomic<bool> m_is_cancelled = false;
    std::chrono::steady_clock::time_point m_answer_deadline{};
    bool m_may_have_sent = false;
    bool m_is_withdrawn = false;  ///< it may not be sent any more
    bool m_has_failed = false;    ///< a handler threw
    bool m_has_head = false;
    bool m_keep_alive = false;
    time_span m_idle_limit{};  ///< of this connection
};

}  // namespace

client::client(asio::io_context& context, endpoint server, client_options options)
    : m_shared(std::make_shared<shared>(context, std::move(server), std::move(options)))
{
    const auto& authority = m_shared->m_options.m_authority_file;
    if (!authority.empty()) {
        auto& tls = m_shared->m_tls.emplace(asio::ssl::context::tls_client);
        error_code error;
        tls.load_verify_file(authority, error);
        if (error) {
            log_event(log_level::error, "authority_file_unreadable",
                      {{"file", authority}, {"reason", error.message()}});
        }
        tls.set_verify_mode(asio::ssl::verify_peer);
    }
}

client::~client()
{
    const std::lock_guard lock(m_shared->m_mutex);
    m_shared->m_idle.clear();
}

std::shared_ptr<client_exchange> client::start(request wanted, client_handlers handlers,
                                               std::shared_ptr<connection_history> history)
{
    auto running = std::make_shared<running_exchange<shared>>(
        m_shared, std::move(wanted), std::move(handlers), std::move(history));
    running->begin();
    return running;
}

std::shared_ptr<client_exchange> call(client& target, request wanted,
                                      std::function<void(const absl::StatusOr<response>&)> done)
{
    auto answer = std::make_shared<response>();
    client_handlers handlers;
    handlers.m_on_head = [answer](int status, const fields& head) {
        answer->m_status = status;
        answer->m_fields = head;
    };
    handlers.m_on_data = [answer](std::string bytes) { answer->m_body += bytes; };
    handlers.m_on_end = [answer, done = std::move(done)](const absl::Status& result, progress) {
        done(result.ok() ? absl::StatusOr<response>(std::move(*answer)) : result);
    };
    return target.start(std::move(wanted), std::move(handlers));
}

absl::StatusOr<response> fetch(const endpoint& server, const request& wanted,
                               const client_options& options)
{
    asio::io_context context;
    client one(context, server, options);
    response answer;
    absl::Status result;
    client_handlers handlers;
    handlers.m_on_head = [&](int status, const fields& head) {
        answer.m_status = status;
        answer.m_fields = head;
    };
    handlers.m_on_data = [&](std::string bytes) { answer.m_body += bytes; };
    handlers.m_on_end = [&](const absl::Status& status, progress) { result = status; };
    const auto running = one.start(wanted, std::move(handlers));
    context.run();
    if (!result.ok()) {
        return result;
    }
    return answer;
}

}  // namespace dewbeam::http
