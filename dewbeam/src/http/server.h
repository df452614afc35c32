/// \file
/// HTTP/1.1 server on Boost.Beast: limits, keep-alive, streamed answers, TLS.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "dewbeam/base"
#include "dewbeam/src/http/held_memory.h"
#include "dewbeam/src/http/message.h"

namespace dewbeam::http {

namespace internal {
struct server_state;
}

/// Limits of a server; each has its own error.
struct server_limits {
    std::size_t m_most_header_bytes = 16UL * 1024;
    std::size_t m_most_body_bytes = 4UL * 1024 * 1024;
    std::size_t m_most_header_fields = 256;
    std::size_t m_most_connections = 4096;
    std::size_t m_most_unsent_bytes =
        1024UL * 1024;  ///< of one answer, before a slow reader is cut
    time_span m_read_limit = std::chrono::seconds(10);   ///< for one whole request
    time_span m_write_limit = std::chrono::seconds(10);  ///< for one piece of an answer
    time_span m_idle_limit = std::chrono::seconds(60);   ///< between requests
};

/// Memory that one request of the largest size needs, with the copy in which it is sent on.
std::size_t largest_request_bytes(const server_limits& limits);

/// What a server needs to know at start.
struct server_options {
    endpoint m_listen;
    server_limits m_limits;
    std::string m_certificate_file;  ///< PEM; empty: no TLS
    std::string m_key_file;          ///< PEM
    bool m_dates_requests = false;   ///< sets `request::m_sent_after`, by `m_now`
    time_point (*m_now)() = nullptr;
    std::shared_ptr<memory_budget> m_memory;  ///< of the process; empty: a default one of its own
};

/// The answering side of one request. Thread-safe; holds the connection until it is over.
class exchange {
public:
    exchange() = default;
    virtual ~exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    exchange(exchange&&) = delete;
    exchange& operator=(exchange&&) = delete;

    /// Gives the whole answer. The first of `respond` and `start` counts.
    virtual void respond(response whole) = 0;

    /// Begins a streamed answer (chunked).
    virtual void start(int status, fields head) = 0;

    /// Adds bytes to a streamed answer.
    virtual void write(std::string bytes) = 0;

    /// Ends a streamed answer whole.
    virtual void finish() = 0;

    /// Ends a streamed answer so that the caller sees it was cut: no last chunk, then a close.
    virtual void abort() = 0;

    /// Calls `action` once when the caller goes away before the answer ended.
    virtual void on_gone(std::function<void()> action) = 0;
};

/// Called for each request on one of the server's threads; must not block. If it throws, the
/// request is answered by 500 `internal_error` and its `on_gone` action is called.
using request_handler = std::function<void(request&&, const std::shared_ptr<exchange>&)>;

/// Makes the body of an error that the server itself finds: status, code and sentence.
using error_body =
    std::function<std::string(int status, std::string_view code, std::string_view message)>;

/// A listening server.
class server {
public:
    /// Binds and listens; answers come from the threads that run `context`.
    static absl::StatusOr<std::unique_ptr<server>> start(boost::asio::io_context& context,
                                                         server_options options,
                                                         request_handler handler,
                                                         error_body make_error_body);

    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    /// The address in use, with the real port.
    [[nodiscard]] endpoint address() const;

    /// From now on each connection is closed after its next answer, so that callers move on.
    void wind_down();

    /// Closes the listener, idle connections, and each other one after its current answer.
    void stop_accepting();

    /// Requests of which a part has been read and whose answer is not wholly written yet. Once the
    /// server stops, those that are still being read count for a second at most.
    [[nodiscard]] std::size_t unanswered() const;

    /// Connections that are open.
    [[nodiscard]] std::size_t connections() const;

private:
    explicit server(std::shared_ptr<internal::server_state> state);
    std::shared_ptr<internal::server_state> m_shared;
};

}  // namespace dewbeam::http
