#include "dewbeam/src/http/serve.h"

namespace dewbeam::http::internal {

// The checker takes a coroutine's move of its parameter into its frame for an earlier move.
// NOLINTBEGIN(bugprone-use-after-move)
asio::awaitable<void> serve_plain(std::shared_ptr<server_state> state, tcp::socket socket,
                                  strand executor, std::shared_ptr<counted> accepted)
{
    const counted open(state->m_connections, counted::already_raised{});
    error_code error;
    socket.set_option(tcp::no_delay(true), error);
    beast::tcp_stream stream(std::move(socket));
    co_await serve(*state, stream, executor, accepted);
    stream.socket().shutdown(tcp::socket::shutdown_both, error);
}

asio::awaitable<void> refuse_connection(std::shared_ptr<server_state> state, tcp::socket socket)
{
    const counted open(state->m_connections, counted::already_raised{});
    const counted refusal(state->m_refusals, counted::already_raised{});
    beast::tcp_stream stream(std::move(socket));
    co_await refuse_request(*state, stream,
                            {503, "too_many_connections", "this server has no connection left"});
}
// NOLINTEND(bugprone-use-after-move)

}  // namespace dewbeam::http::internal
