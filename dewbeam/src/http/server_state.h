/// \file
/// What the listener of a server and all of its connections share. Internal to the module.
#pragma once

#include <atomic>
#include <boost/asio/ssl.hpp>
#include <boost/intrusive/list.hpp>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "dewbeam/src/http/coroutines.h"
#include "dewbeam/src/http/held_memory.h"
#include "dewbeam/src/http/queued_exchange.h"
#include "dewbeam/src/http/server.h"
#include "dewbeam/turns"

namespace dewbeam::http::internal {

/// Counts something for as long as it lasts, also where an exception ends it.
class counted {
public:
    /// Takes over a count that the caller has raised.
    struct already_raised {};

    explicit counted(std::atomic<std::size_t>& count) : m_count(count) { ++m_count; }
    counted(std::atomic<std::size_t>& count, already_raised /*tag*/) : m_count(count) {}
    ~counted() { --m_count; }
    counted(const counted&) = delete;
    counted& operator=(const counted&) = delete;
    counted(counted&&) = delete;
    counted& operator=(counted&&) = delete;

private:
    std::atomic<std::size_t>& m_count;
};

/// An open connection, so that it can be ended from outside: idle ones when the server stops, and
/// those that hold too much memory, or whose place another one needs. Its fields are used on the
/// connection's strand alone, but for the atomic one. It is closed once no request of it is unread.
struct connection_slot : boost::intrusive::list_base_hook<>,
                         std::enable_shared_from_this<connection_slot> {
    connection_slot(tcp::socket& socket, strand executor)
        : m_socket(&socket), m_executor(std::move(executor))
    {
    }

    void set_idle(bool is_idle)
    {
        using clock = std::chrono::steady_clock;
        m_is_idle = is_idle;
        m_idle_since = is_idle ? clock::now() : clock::time_point::max();
    }

    tcp::socket* m_socket;  ///< null once the connection is over
    strand m_executor;
    bool m_is_idle = false;
    /// Since when it is idle; the latest time while it isn't, or once it was ended for that.
    std::atomic<std::chrono::steady_clock::time_point> m_idle_since{
        std::chrono::steady_clock::time_point::max()};
    bool m_is_reading = false;                ///< a request of which a part has come
    std::weak_ptr<queued_exchange> m_answer;  ///< the one under way
    std::shared_ptr<counted> m_last_look;     ///< once the server stops, while it is idle
};

using connection_list = boost::intrusive::list<connection_slot>;

/// What the server says of a request that it could not read.
struct read_fault {
    int m_status = 0;  ///< 0: close without a word
    const char* m_code = "";
    const char* m_message = "";
    time_span m_retry_after = time_span::zero();  ///< zero: no Retry-After
};

struct server_state : std::enable_shared_from_this<server_state> {
    server_state(asio::io_context& context, server_options options, request_handler handler,
                 error_body make_error_body);

    [[nodiscard]] response error_response(const read_fault& fault) const;

    /// The present, where requests are dated.
    [[nodiscard]] time_point clock() const;

    /// The earliest time at which a request that was just read may have been sent. `not_before` is
    /// when its connection was opened, or when it could first be sent ahead of an answer; empty for
    /// other requests on kept connections, of which only the server's own delay is known.
    time_point sent_after(std::optional<time_point> not_before);

    /// Hands a request to the handler. The exchange ends where the handler throws.
    void handle_request(request&& wanted, const std::shared_ptr<queued_exchange>& answer) const;

    /// Ends the connection that has been idle for longest, if that is for some time.
    /// \returns whether there is one
    bool end_longest_idle();

    /// Logs that connections are ended for the memory that they hold, once a second at most.
    void report_ended_for_memory();

    asio::io_context& m_context;
    server_options m_options;
    request_handler m_handler;
    error_body m_make_error_body;
    tcp::acceptor m_acceptor;  ///< used on its strand once the server has started
    endpoint m_address;        ///< set before the server starts
    std::optional<asio::ssl::context> m_tls;
    std::atomic<std::size_t> m_connections = 0;
    std::atomic<std::size_t> m_refusals = 0;  ///< of the connections: beyond the limit
    std::atomic<std::size_t> m_reading = 0;   ///< requests of which a part has been read
    std::atomic<std::size_t> m_looks = 0;     ///< for requests that may not have been read yet
    std::atomic<std::size_t> m_unanswered = 0;
    std::shared_ptr<counted>
        m_last_accepts;  ///< set as it stops; then used on the acceptor's strand
    std::atomic<bool> m_is_stopping = false;
    /// Once it stops: until when requests that are being read count as unanswered.
    std::atomic<std::chrono::steady_clock::time_point> m_read_deadline{
        std::chrono::steady_clock::time_point::max()};
    std::atomic<bool> m_is_winding_down = false;
    std::mutex m_mutex;
    connection_list m_open;                                     ///< under m_mutex
    reader_watch m_reader;                                      ///< the same; of the server's loop
    std::uint64_t m_ended_for_memory = 0;                       ///< the same; connections
    std::chrono::steady_clock::time_point m_next_memory_log{};  ///< the same
    asio::steady_timer m_turn_timer;                            ///< used on the acceptor's strand
};

/// Keeps a connection in the list of open ones for as long as it is served.
class open_connection {
public:
    open_connection(server_state& state, tcp::socket& socket, const strand& executor);
    ~open_connection();
    open_connection(const open_connection&) = delete;
    open_connection& operator=(const open_connection&) = delete;
    open_connection(open_connection&&) = delete;
    open_connection& operator=(open_connection&&) = delete;

    [[nodiscard]] connection_slot& slot() { return *m_slot; }
    [[nodiscard]] const std::shared_ptr<held_memory>& held() const { return m_held; }

private:
    server_state& m_state;
    std::shared_ptr<connection_slot> m_slot;
    std::shared_ptr<held_memory> m_held;
};

/// Serves the requests of one connection, one after the other. `accepted` counts the connection
/// until its first request can be told from none.
asio::awaitable<void> serve_plain(std::shared_ptr<server_state> state, tcp::socket socket,
                                  strand executor, std::shared_ptr<counted> accepted);

/// The same behind a TLS handshake.
asio::awaitable<void> serve_tls(std::shared_ptr<server_state> state, tcp::socket socket,
                                strand executor, std::shared_ptr<counted> accepted);

/// Tells the caller of a connection beyond the limit that there are too many.
asio::awaitable<void> refuse_connection(std::shared_ptr<server_state> state, tcp::socket socket);

}  // namespace dewbeam::http::internal
