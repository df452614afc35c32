#include "dewbeam/src/http/server.h"

#include <sys/socket.h>

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>
#include <boost/intrusive/list.hpp>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>
#include <variant>

namespace dewbeam::http {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

/// Completes with the error as a value instead of an exception.
auto to_value(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// One step of an answer that waits to be written.
struct piece {
    enum class kind { whole, head, data, end, cut };
    kind m_kind = kind::data;
    response m_response;
    std::string m_data;
};

using strand = asio::strand<asio::io_context::executor_type>;

/// Answers queue here; the connection's coroutine writes them.
class queued_exchange : public exchange, public std::enable_shared_from_this<queued_exchange> {
public:
    queued_exchange(const strand& executor, std::size_t most_unsent)
        : m_executor(executor), m_timer(executor), m_most_unsent(most_unsent)
    {
        m_timer.expires_at(asio::steady_timer::time_point::max());
    }

    void respond(response whole) override
    {
        push({piece::kind::whole, std::move(whole), {}}, true);
    }

    void start(int status, fields head) override
    {
        response first;
        first.m_status = status;
        first.m_fields = std::move(head);
        push({piece::kind::head, std::move(first), {}}, false);
    }

    void write(std::string bytes) override
    {
        push({piece::kind::data, {}, std::move(bytes)}, false);
    }

    void finish() override { push({piece::kind::end, {}, {}}, true); }

    void abort() override { push({piece::kind::cut, {}, {}}, true); }

    void on_gone(std::function<void()> action) override
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_over) {
                return;
            }
            if (!m_is_gone) {
                m_on_gone = std::move(action);
                return;
            }
        }
        action();
    }

    /// The connection broke or its reader is too slow; calls the handler's action once.
    void set_gone()
    {
        std::function<void()> action;
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_gone) {
                return;
            }
            m_is_gone = true;
            if (!m_is_over) {
                action = std::move(m_on_gone);
            }
            m_on_gone = nullptr;
        }
        if (action) {
            action();
        }
        wake();
    }

    /// The whole answer was written.
    void set_over()
    {
        const std::lock_guard lock(m_mutex);
        m_is_over = true;
        m_on_gone = nullptr;
    }

    /// Whether the answer is over, one way or the other.
    [[nodiscard]] bool is_finished() const
    {
        const std::lock_guard lock(m_mutex);
        return m_is_gone || m_is_over;
    }

    /// The next step, or nothing where the caller went away.
    asio::awaitable<std::optional<piece>> next()
    {
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_is_gone) {
                    co_return std::nullopt;
                }
                if (!m_pieces.empty()) {
                    piece first = std::move(m_pieces.front());
                    m_pieces.pop_front();
                    merge_data(first);
                    m_unsent -= first.m_data.size();
                    co_return first;
                }
            }
            error_code error;
            co_await m_timer.async_wait(to_value(error));
        }
    }

private:
    /// Joins data pieces that wait behind one another into one write.
    void merge_data(piece& first)
    {
        while (first.m_kind == piece::kind::data && !m_pieces.empty() &&
               m_pieces.front().m_kind == piece::kind::data) {
            first.m_data += m_pieces.front().m_data;
            m_pieces.pop_front();
        }
    }

    void push(piece item, bool is_last)
    {
        bool is_too_slow = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_closed || m_is_gone) {
                return;
            }
            m_is_closed = is_last;
            m_unsent += item.m_data.size();
            is_too_slow = m_unsent > m_most_unsent;
            m_pieces.push_back(std::move(item));
        }
        if (is_too_slow) {
            log_event(log_level::warning, "caller_reads_too_slowly", {{"unsent", m_most_unsent}});
            set_gone();
            return;
        }
        wake();
    }

    void wake()
    {
        asio::post(m_executor, [self = shared_from_this()] { self->m_timer.cancel(); });
    }

    strand m_executor;
    asio::steady_timer m_timer;
    std::size_t m_most_unsent;
    mutable std::mutex m_mutex;
    std::deque<piece> m_pieces;
    std::size_t m_unsent = 0;
    bool m_is_closed = false;  ///< the last piece is queued
    bool m_is_gone = false;
    bool m_is_over = false;
    std::function<void()> m_on_gone;
};

bhttp::response<bhttp::string_body> to_beast(response&& whole, bool keep_alive, bool is_head)
{
    bhttp::response<bhttp::string_body> result{static_cast<bhttp::status>(whole.m_status), 11};
    for (const auto& item : whole.m_fields) {
        result.insert(item.m_name, item.m_value);
    }
    result.keep_alive(keep_alive);
    if (is_head) {
        result.content_length(whole.m_body.size());
    }
    else {
        result.body() = std::move(whole.m_body);
        result.prepare_payload();
    }
    return result;
}

request to_request(bhttp::request<bhttp::string_body>&& source)
{
    request result;
    result.m_method = std::string(source.method_string());
    result.m_target = std::string(source.target());
    for (const auto& item : source) {
        result.m_fields.push_back({std::string(item.name_string()), std::string(item.value())});
    }
    result.m_body = std::move(source.body());
    return result;
}

/// What the server says of a request that it could not read.
struct read_fault {
    int m_status = 0;  ///< 0: close without a word
    const char* m_code = "";
    const char* m_message = "";
};

read_fault explain(error_code error)
{
    if (error == bhttp::error::header_limit) {
        return {431, "header_too_large", "the header is larger than this server allows"};
    }
    if (error == bhttp::error::body_limit) {
        return {413, "body_too_large", "the body is larger than this server allows"};
    }
    if (error == beast::error::timeout) {
        return {408, "request_too_slow", "the request took too long to arrive"};
    }
    const bool is_syntax = error.category() == make_error_code(bhttp::error::bad_method).category();
    if (is_syntax && error != bhttp::error::end_of_stream &&
        error != bhttp::error::partial_message) {
        return {400, "bad_request", "this is not an HTTP/1.1 request"};
    }
    return {};
}

/// An open connection, so that idle ones can be closed when the server stops. Its fields are
/// used on the connection's strand alone.
struct connection_slot : boost::intrusive::list_base_hook<>,
                         std::enable_shared_from_this<connection_slot> {
    connection_slot(tcp::socket& socket, strand executor)
        : m_socket(&socket), m_executor(std::move(executor))
    {
    }

    tcp::socket* m_socket;  ///< null once the connection is over
    strand m_executor;
    bool m_is_idle = false;
};

using connection_list = boost::intrusive::list<connection_slot>;

}  // namespace

/// State that the listener and all connections share.
struct server::shared : std::enable_shared_from_this<server::shared> {
    shared(asio::io_context& context, server_options options, request_handler handler,
           error_body make_error_body)
        : m_context(context),
          m_options(std::move(options)),
          m_handler(std::move(handler)),
          m_make_error_body(std::move(make_error_body)),
          m_acceptor(asio::make_strand(context))
    {
    }

    response error_response(const read_fault& fault) const
    {
        return json_response(fault.m_status,
                             m_make_error_body(fault.m_status, fault.m_code, fault.m_message));
    }

    asio::io_context& m_context;
    server_options m_options;
    request_handler m_handler;
    error_body m_make_error_body;
    tcp::acceptor m_acceptor;  ///< used on its strand once the server has started
    endpoint m_address;        ///< set before the server starts
    std::optional<asio::ssl::context> m_tls;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_unanswered = 0;
    std::atomic<bool> m_is_stopping = false;
    std::atomic<bool> m_is_winding_down = false;
    std::mutex m_mutex;
    connection_list m_open;  ///< under m_mutex
};

namespace {

/// Keeps a connection in the list of open ones for as long as it is served.
template <class Shared>
class open_connection {
public:
    open_connection(Shared& state, tcp::socket& socket, const strand& executor)
        : m_state(state), m_slot(std::make_shared<connection_slot>(socket, executor))
    {
        const std::lock_guard lock(m_state.m_mutex);
        m_state.m_open.push_back(*m_slot);
    }

    ~open_connection()
    {
        m_slot->m_socket = nullptr;
        const std::lock_guard lock(m_state.m_mutex);
        m_state.m_open.erase(connection_list::s_iterator_to(*m_slot));
    }

    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;
    open_connection(open_connection&&) = delete;
    open_connection& operator=(open_connection&&) = delete;

    void set_idle(bool is_idle) { m_slot->m_is_idle = is_idle; }

private:
    Shared& m_state;
    std::shared_ptr<connection_slot> m_slot;
};

beast::tcp_stream& lowest(beast::tcp_stream& stream)
{
    return stream;
}

beast::tcp_stream& lowest(beast::ssl_stream<beast::tcp_stream>& stream)
{
    return stream.next_layer();
}

/// Calls `set_gone` when the caller closes its side while an answer is under way.
asio::awaitable<void> watch_caller(tcp::socket& socket, std::shared_ptr<queued_exchange> answer)
{
    error_code error;
    co_await socket.async_wait(tcp::socket::wait_read, to_value(error));
    // Once the answer is over the connection, and with it the socket, may be gone.
    if (error || answer->is_finished()) {
        co_return;
    }
    char byte = 0;
    const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    const bool is_closed = got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    if (is_closed) {
        answer->set_gone();
    }
}

/// Writes the pieces of one answer; gives whether the connection may go on.
template <class Stream>
class answer_writer {
public:
    answer_writer(Stream& stream, time_span limit, bool keep_alive, bool is_head)
        : m_stream(stream), m_limit(limit), m_keep_alive(keep_alive), m_is_head(is_head)
    {
    }

    /// Writes until the answer's end; false where the connection must be closed.
    asio::awaitable<bool> run(queued_exchange& answer)
    {
        for (;;) {
            auto item = co_await answer.next();
            if (!item || item->m_kind == piece::kind::cut) {
                answer.set_over();
                co_return false;
            }
            const auto kind = item->m_kind;
            const auto error = co_await write(std::move(*item));
            if (error) {
                answer.set_gone();
                co_return false;
            }
            if (kind == piece::kind::whole || kind == piece::kind::end) {
                answer.set_over();
                co_return m_keep_alive;
            }
        }
    }

private:
    asio::awaitable<error_code> write(piece item)
    {
        lowest(m_stream).expires_after(m_limit);
        error_code error;
        switch (item.m_kind) {
            case piece::kind::whole: {
                auto message = to_beast(std::move(item.m_response), m_keep_alive, m_is_head);
                bhttp::response_serializer<bhttp::string_body> serializer(message);
                if (m_is_head) {
                    co_await bhttp::async_write_header(m_stream, serializer, to_value(error));
                }
                else {
                    co_await bhttp::async_write(m_stream, serializer, to_value(error));
                }
                break;
            }
            case piece::kind::head: {
                bhttp::response<bhttp::empty_body> head{
                    static_cast<bhttp::status>(item.m_response.m_status), 11};
                for (const auto& one : item.m_response.m_fields) {
                    head.insert(one.m_name, one.m_value);
                }
                head.keep_alive(m_keep_alive);
                head.chunked(true);
                bhttp::response_serializer<bhttp::empty_body> serializer(head);
                co_await bhttp::async_write_header(m_stream, serializer, to_value(error));
                break;
            }
            case piece::kind::data:
                if (!item.m_data.empty()) {
                    co_await asio::async_write(
                        m_stream, bhttp::make_chunk(asio::buffer(item.m_data)), to_value(error));
                }
                break;
            case piece::kind::end:
                co_await asio::async_write(m_stream, bhttp::make_chunk_last(), to_value(error));
                break;
            case piece::kind::cut:
                break;
        }
        co_return error;
    }

    Stream& m_stream;
    time_span m_limit;
    bool m_keep_alive;
    bool m_is_head;
};

template <class Shared, class Stream>
asio::awaitable<void> refuse_request(Shared& state, Stream& stream, const read_fault& fault)
{
    if (fault.m_status == 0) {
        co_return;
    }
    error_code error;
    lowest(stream).expires_after(state.m_options.m_limits.m_write_limit);
    auto message = to_beast(state.error_response(fault), false, false);
    co_await bhttp::async_write(stream, message, to_value(error));
    // The caller may still be sending: without this a reset could overtake the answer.
    lowest(stream).socket().shutdown(tcp::socket::shutdown_send, error);
    constexpr std::size_t most_passed_over = 1024UL * 1024;
    std::size_t passed_over = 0;
    beast::flat_buffer rest;
    lowest(stream).expires_after(std::chrono::seconds(1));
    while (!error && passed_over < most_passed_over) {
        passed_over += co_await stream.async_read_some(rest.prepare(4096), to_value(error));
    }
}

/// Waits for the first bytes of a request; a wait between requests has a limit of its own.
template <class Stream>
asio::awaitable<error_code> wait_for_request(Stream& stream, beast::flat_buffer& buffer,
                                             time_span limit)
{
    error_code error;
    if (buffer.size() == 0) {
        constexpr std::size_t first_read = 4096;
        lowest(stream).expires_after(limit);
        const auto got =
            co_await stream.async_read_some(buffer.prepare(first_read), to_value(error));
        buffer.commit(got);
    }
    co_return error;
}

/// Ends a read that takes too long, and leaves the connection open for the answer that says so:
/// the deadline of a `tcp_stream` would close it.
class read_deadline {
public:
    read_deadline(const strand& executor, tcp::socket& socket, time_span limit)
        : m_timer(executor, limit), m_is_over(std::make_shared<bool>(false))
    {
        m_timer.async_wait([&socket, is_over = m_is_over](const error_code& error) {
            if (!error && !*is_over) {
                *is_over = true;
                error_code ignored;
                socket.cancel(ignored);
            }
        });
    }

    /// The read ended with `error`; gives a timeout in its place where this deadline ended it.
    error_code finish(error_code error)
    {
        const bool has_expired = std::exchange(*m_is_over, true);
        m_timer.cancel();
        return has_expired && error ? error_code(beast::error::timeout) : error;
    }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_is_over;  ///< shared with a wait that may outlive this object
};

using request_parser = bhttp::request_parser<bhttp::string_body>;

/// Reads one request, and tells a caller that asks first to go on.
template <class Stream>
asio::awaitable<error_code> read_request(Stream& stream, beast::flat_buffer& buffer,
                                         request_parser& parser, const strand& executor,
                                         time_span limit)
{
    error_code error;
    lowest(stream).expires_never();
    read_deadline deadline(executor, lowest(stream).socket(), limit);
    co_await bhttp::async_read_header(stream, buffer, parser, to_value(error));
    if (error) {
        co_return deadline.finish(error);
    }
    if (beast::iequals(parser.get()[bhttp::field::expect], "100-continue")) {
        bhttp::response<bhttp::empty_body> go_on{bhttp::status::continue_, 11};
        co_await bhttp::async_write(stream, go_on, to_value(error));
    }
    if (!error) {
        co_await bhttp::async_read(stream, buffer, parser, to_value(error));
    }
    co_return deadline.finish(error);
}

/// Serves the requests of one connection, one after the other.
template <class Shared, class Stream>
asio::awaitable<void> serve(std::shared_ptr<Shared> state, Stream& stream, strand executor)
{
    const auto& limits = state->m_options.m_limits;
    open_connection<Shared> open(*state, lowest(stream).socket(), executor);
    beast::flat_buffer buffer;
    bool keep_alive = true;
    while (keep_alive && !state->m_is_stopping) {
        request_parser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits.m_most_header_bytes));
        parser.body_limit(limits.m_most_body_bytes);
        open.set_idle(true);
        auto error = co_await wait_for_request(stream, buffer, limits.m_idle_limit);
        open.set_idle(false);
        if (error) {
            break;
        }
        error = co_await read_request(stream, buffer, parser, executor, limits.m_read_limit);
        if (error) {
            co_await refuse_request(*state, stream, explain(error));
            break;
        }
        keep_alive = parser.keep_alive() && !state->m_is_winding_down;
        const bool is_head = parser.get().method() == bhttp::verb::head;
        auto answer = std::make_shared<queued_exchange>(executor, limits.m_most_unsent_bytes);
        lowest(stream).expires_never();
        asio::co_spawn(executor, watch_caller(lowest(stream).socket(), answer), asio::detached);
        ++state->m_unanswered;
        state->m_handler(to_request(parser.release()), answer);
        answer_writer<Stream> writer(stream, limits.m_write_limit, keep_alive, is_head);
        keep_alive = co_await writer.run(*answer);
        --state->m_unanswered;
        lowest(stream).socket().cancel(error);  // ends the watch
    }
}

// The checker takes a coroutine's move of its parameter into its frame for an earlier move.
// NOLINTBEGIN(bugprone-use-after-move)
template <class Shared>
asio::awaitable<void> serve_connection(std::shared_ptr<Shared> state, tcp::socket socket,
                                       strand executor)
{
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    if (state->m_tls) {
        beast::ssl_stream<beast::tcp_stream> stream(std::move(socket), *state->m_tls);
        lowest(stream).expires_after(state->m_options.m_limits.m_read_limit);
        co_await stream.async_handshake(asio::ssl::stream_base::server, to_value(error));
        if (error) {
            log_event(log_level::warning, "tls_handshake_failed", {{"reason", error.message()}});
        }
        else {
            co_await serve(state, stream, executor);
            co_await stream.async_shutdown(to_value(error));
        }
    }
    else {
        beast::tcp_stream stream(std::move(socket));
        co_await serve(state, stream, executor);
        stream.socket().shutdown(tcp::socket::shutdown_both, error);
    }
    --state->m_connections;
}

template <class Shared>
asio::awaitable<void> refuse_connection(std::shared_ptr<Shared> state, tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    co_await refuse_request(*state, stream,
                            {503, "too_many_connections", "this server has no connection left"});
    --state->m_connections;
}
// NOLINTEND(bugprone-use-after-move)

template <class Shared>
asio::awaitable<void> accept_all(std::shared_ptr<Shared> state)
{
    const auto& limits = state->m_options.m_limits;
    while (!state->m_is_stopping) {
        error_code error;
        const auto executor = asio::make_strand(state->m_context);
        auto socket = co_await state->m_acceptor.async_accept(executor, to_value(error));
        if (error == asio::error::operation_aborted || state->m_is_stopping) {
            break;
        }
        if (error) {
            log_event(log_level::error, "accept_failed", {{"reason", error.message()}});
            asio::steady_timer pause(co_await asio::this_coro::executor,
                                     std::chrono::milliseconds(50));
            co_await pause.async_wait(to_value(error));
            continue;
        }
        const bool is_full = ++state->m_connections > limits.m_most_connections;
        if (is_full && !state->m_tls) {
            asio::co_spawn(executor, refuse_connection(state, std::move(socket)), asio::detached);
        }
        else if (is_full) {
            --state->m_connections;
        }
        else {
            asio::co_spawn(executor, serve_connection(state, std::move(socket), executor),
                           asio::detached);
        }
    }
}

endpoint address_of(const tcp::acceptor& acceptor)
{
    error_code error;
    const auto local = acceptor.local_endpoint(error);
    return {local.address().to_string(), local.port()};
}

absl::Status to_status(std::string_view what, const error_code& error)
{
    return absl::UnavailableError(std::string(what) + ": " + error.message());
}

}  // namespace

server::server(std::shared_ptr<shared> state) : m_shared(std::move(state)) {}

server::~server()
{
    stop_accepting();
}

absl::StatusOr<std::unique_ptr<server>> server::start(asio::io_context& context,
                                                      server_options options,
                                                      request_handler handler,
                                                      error_body make_error_body)
{
    auto state = std::make_shared<shared>(context, std::move(options), std::move(handler),
                                          std::move(make_error_body));
    const auto& listen = state->m_options.m_listen;
    error_code error;
    if (!state->m_options.m_certificate_file.empty()) {
        auto& tls = state->m_tls.emplace(asio::ssl::context::tls_server);
        tls.set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2 |
                        asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 |
                        asio::ssl::context::no_tlsv1_1);
        tls.use_certificate_chain_file(state->m_options.m_certificate_file, error);
        if (error) {
            return to_status("certificate " + state->m_options.m_certificate_file, error);
        }
        tls.use_private_key_file(state->m_options.m_key_file, asio::ssl::context::pem, error);
        if (error) {
            return to_status("key " + state->m_options.m_key_file, error);
        }
    }
    const tcp::endpoint wanted(asio::ip::make_address(listen.m_ip), listen.m_port);
    auto& acceptor = state->m_acceptor;
    acceptor.open(wanted.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(wanted, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return to_status("can't listen on " + to_string(listen), error);
    }
    state->m_address = address_of(acceptor);
    asio::co_spawn(acceptor.get_executor(), accept_all(state), asio::detached);
    return std::unique_ptr<server>(new server(std::move(state)));
}

endpoint server::address() const
{
    return m_shared->m_address;
}

void server::wind_down()
{
    m_shared->m_is_winding_down = true;
}

void server::stop_accepting()
{
    wind_down();
    if (m_shared->m_is_stopping.exchange(true)) {
        return;
    }
    const std::lock_guard lock(m_shared->m_mutex);
    for (auto& slot : m_shared->m_open) {
        asio::post(slot.m_executor, [kept = slot.shared_from_this()] {
            error_code ignored;
            if (kept->m_socket != nullptr && kept->m_is_idle) {
                kept->m_socket->cancel(ignored);
            }
        });
    }
    asio::post(m_shared->m_acceptor.get_executor(), [state = m_shared] {
        error_code ignored;
        state->m_acceptor.close(ignored);
    });
}

std::size_t server::unanswered() const
{
    return m_shared->m_unanswered;
}

std::size_t server::connections() const
{
    return m_shared->m_connections;
}

}  // namespace dewbeam::http
