/// \file
/// Names and small helpers that the coroutines of the HTTP server and client share. Internal to the
/// module.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

namespace dewbeam::http::internal {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace bhttp = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using strand = asio::strand<asio::io_context::executor_type>;

/// Completes with the error as a value instead of an exception.
inline auto to_value(error_code& error)
{
    return asio::redirect_error(asio::use_awaitable, error);
}

/// The TCP stream under a plain or a TLS stream.
inline beast::tcp_stream& lowest(beast::tcp_stream& stream)
{
    return stream;
}

inline beast::tcp_stream& lowest(beast::ssl_stream<beast::tcp_stream>& stream)
{
    return stream.next_layer();
}

/// Closes a connection with a TCP reset. Unlike a normal close, this discards data in the kernel's
/// send buffer instead of delivering it.
inline void reset_connection(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

}  // namespace dewbeam::http::internal
