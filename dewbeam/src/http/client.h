/// \file
/// HTTP/1.1 client on Boost.Beast: one exchange at a time on a connection, streamed answers.
#pragma once

#include <absl/status/statusor.h>

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dewbeam/base"
#include "dewbeam/src/http/connection_history.h"
#include "dewbeam/src/http/message.h"

namespace dewbeam::http {

/// How far an exchange came before it failed.
enum class progress {
    not_sent,  ///< no byte of the request was handed to the connection
    sent,      ///< some or all of the request was; the other side may have begun
};

/// Calls from one of the context's threads, in this order: may send, head, data..., end. If one of
/// them throws, the exchange ends by `Internal` and its connection is closed.
struct client_handlers {
    /// Asked once a connection is there, before a byte of the request goes out; may be empty. If
    /// false, nothing is sent and the exchange ends by `FailedPrecondition`.
    std::function<bool()> m_may_send;
    std::function<void(int status, const fields& head)> m_on_head;
    std::function<void(std::string bytes)> m_on_data;
    /// OK only where the whole answer arrived. `ResourceExhausted`: the server sent more than the
    /// options allow.
    std::function<void(const absl::Status& result, progress how_far)> m_on_end;
};

/// One running exchange. Cancelling closes its connection, which is never used again.
class client_exchange {
public:
    client_exchange() = default;
    virtual ~client_exchange() = default;
    client_exchange(const client_exchange&) = delete;
    client_exchange& operator=(const client_exchange&) = delete;
    client_exchange(client_exchange&&) = delete;
    client_exchange& operator=(client_exchange&&) = delete;

    /// Ends the exchange; `m_on_end` is still called, with a cancelled status.
    virtual void cancel() = 0;
};

/// Limits of a client.
struct client_options {
    time_span m_connect_limit = std::chrono::seconds(2);
    time_span m_silence_limit = std::chrono::seconds(30);  ///< between two pieces of an answer
    /// For the whole answer, from when the request is sent. Without it, a server that sends a byte
    /// now and then is never silent.
    time_span m_answer_limit = time_span::max();
    std::size_t m_most_idle = 64;  ///< kept connections
    /// Maximum size in bytes of an answer's body. A larger answer is ended by `ResourceExhausted`
    /// as soon as this is known; it may not end otherwise.
    std::uint64_t m_most_answer_bytes = 16UL * 1024 * 1024;
    /// A kept connection that was idle for longer is not used again: the server may be about to
    /// close it, and what is sent then may or may not have run. A server that states a shorter time
    /// (`Keep-Alive: timeout=N`) is believed, less `keep_alive_margin`.
    time_span m_idle_limit = std::chrono::seconds(60);
    /// A connection that takes no bytes, or does not answer the system's probes, for so long is
    /// broken: something between the two ends may have lost track of it without a reset.
    time_span m_dead_limit = std::chrono::seconds(3);
    std::string m_authority_file;  ///< PEM of the trusted authority; empty: no TLS
    /// Called when the server ends a kept connection that is idle, or sends something on it; may be
    /// empty.
    std::function<void()> m_on_idle_end;
};

/// How much sooner than a server states an idle connection is given up: a round trip, with room.
inline constexpr time_span keep_alive_margin = std::chrono::seconds(1);

/// A client of one server.
class client {
public:
    client(boost::asio::io_context& context, endpoint server, client_options options);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;
    client(client&&) = delete;
    client& operator=(client&&) = delete;

    /// Sends a request; the handlers say what came back. A request that may be sent again comes
    /// with its `history`: no two of its exchanges use the same connection.
    std::shared_ptr<client_exchange> start(request wanted, client_handlers handlers,
                                           std::shared_ptr<connection_history> history = nullptr);

private:
    struct shared;
    std::shared_ptr<shared> m_shared;
};

/// Sends one request and calls back with the whole answer, or with why there is none.
std::shared_ptr<client_exchange> call(client& target, request wanted,
                                      std::function<void(const absl::StatusOr<response>&)> done);

/// Sends one request and waits for the whole answer; for tools, not for servers.
absl::StatusOr<response> fetch(const endpoint& server, const request& wanted,
                               const client_options& options = {});

}  // namespace dewbeam::http
