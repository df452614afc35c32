#include "dewbeam/src/operators/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/host_name_verification.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

namespace dewbeam::operators {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;
using tls_stream = beast::ssl_stream<beast::tcp_stream>;

constexpr int http_version = 11;

/// Runs one asynchronous step to its end, so that the stream's deadline holds for it.
template <class Start>
error_code finish(asio::io_context& context, Start&& start)
{
    error_code result;
    start([&result](error_code error, auto&&... /*unused*/) { result = error; });
    context.restart();
    context.run();
    return result;
}

absl::Status not_sent(const endpoint& server, const error_code& error)
{
    return absl::UnavailableError("no connection to " + to_string(server) + ": " + error.message());
}

absl::Status no_answer(const endpoint& server, const error_code& error)
{
    return absl::UnknownError("no whole answer from " + to_string(server) + ": " + error.message());
}

http::request<http::string_body> to_message(const endpoint& server, const http_request& request)
{
    http::request<http::string_body> message;
    message.version(http_version);
    message.method_string(request.m_method);
    message.target(request.m_target);
    message.set(http::field::host, to_string(server));
    message.set(http::field::connection, "close");
    for (const auto& item : request.m_headers) {
        message.set(item.m_name, item.m_value);
    }
    message.body() = request.m_body;
    message.prepare_payload();
    return message;
}

http_reply from_message(http::response<http::string_body>&& message)
{
    http_reply reply;
    reply.m_status = message.result_int();
    for (const auto& field : message) {
        reply.m_headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    reply.m_body = std::move(message.body());
    return reply;
}

/// Writes the request and reads the answer over a stream that is connected.
template <class Stream>
absl::StatusOr<http_reply> talk(asio::io_context& context, Stream& stream, const endpoint& server,
                                const http_request& request)
{
    const auto message = to_message(server, request);
    auto error = finish(context, [&](auto done) { http::async_write(stream, message, done); });
    if (error) {
        return no_answer(server, error);
    }
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(most_reply_bytes);
    error = finish(context, [&](auto done) { http::async_read(stream, buffer, parser, done); });
    if (error) {
        return no_answer(server, error);
    }
    return from_message(parser.release());
}

error_code connect(asio::io_context& context, beast::tcp_stream& stream, const endpoint& server,
                   steady_time deadline)
{
    error_code error;
    const auto ip = asio::ip::make_address(server.m_ip, error);
    if (error) {
        return error;
    }
    stream.expires_at(deadline);
    return finish(context,
                  [&](auto done) { stream.async_connect(tcp::endpoint(ip, server.m_port), done); });
}

error_code prepare(asio::ssl::context& context, const tls_options& tls)
{
    error_code error;
    if (tls.m_ca_file.empty()) {
        context.set_default_verify_paths(error);
    }
    else {
        context.load_verify_file(tls.m_ca_file, error);
    }
    context.set_verify_mode(asio::ssl::verify_peer, error);
    return error;
}

absl::StatusOr<http_reply> exchange_over_tls(const endpoint& server, const tls_options& tls,
                                             const http_request& request, steady_time deadline)
{
    asio::ssl::context secrets(asio::ssl::context::tls_client);
    if (const auto error = prepare(secrets, tls)) {
        return absl::InvalidArgumentError("the CA file " + tls.m_ca_file +
                                          " can't be used: " + error.message());
    }
    asio::io_context context;
    tls_stream stream(context, secrets);
    stream.set_verify_callback(asio::ssl::host_name_verification(server.m_ip));
    if (const auto error = connect(context, beast::get_lowest_layer(stream), server, deadline)) {
        return not_sent(server, error);
    }
    const auto error = finish(
        context, [&](auto done) { stream.async_handshake(asio::ssl::stream_base::client, done); });
    if (error) {
        return not_sent(server, error);
    }
    return talk(context, stream, server, request);
}

}  // namespace

std::string http_reply::header(std::string_view name) const
{
    for (const auto& item : m_headers) {
        if (beast::iequals(beast::string_view(item.m_name.data(), item.m_name.size()),
                           beast::string_view(name.data(), name.size()))) {
            return item.m_value;
        }
    }
    return {};
}

absl::StatusOr<http_reply> exchange(const endpoint& server, const tls_options& tls,
                                    const http_request& request, steady_time deadline)
{
    if (tls.m_is_on) {
        return exchange_over_tls(server, tls, request, deadline);
    }
    asio::io_context context;
    beast::tcp_stream stream(context);
    if (const auto error = connect(context, stream, server, deadline)) {
        return not_sent(server, error);
    }
    return talk(context, stream, server, request);
}

}  // namespace dewbeam::operators
