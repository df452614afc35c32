#include "dewbeam/src/http/serve.h"

namespace dewbeam::http::internal {

// The checker takes a coroutine's move of its parameter into its frame for an earlier move.
// NOLINTBEGIN(bugprone-use-after-move)
asio::awaitable<void> serve_tls(std::shared_ptr<server_state> state, tcp::socket socket,
                                strand executor, std::shared_ptr<counted> accepted)
{
    const counted open(state->m_connections, counted::already_raised{});
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    beast::ssl_stream<beast::tcp_stream> stream(std::move(socket), *state->m_tls);
    lowest(stream).expires_after(state->m_options.m_limits.m_read_limit);
    co_await stream.async_handshake(asio::ssl::stream_base::server, to_value(error));
    if (error) {
        log_event(log_level::warning, "tls_handshake_failed", {{"reason", error.message()}});
        co_return;
    }
    co_await serve(*state, stream, executor, accepted);
    lowest(stream).expires_after(state->m_options.m_limits.m_write_limit);
    co_await stream.async_shutdown(to_value(error));
}
// NOLINTEND(bugprone-use-after-move)

}  // namespace dewbeam::http::internal
