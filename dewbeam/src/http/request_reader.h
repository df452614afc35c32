/// \file
/// Reads requests from a connection within the limits of a server. Internal to the module.
#pragma once

#include <algorithm>
#include <iterator>

#include "dewbeam/src/http/operation_deadline.h"
#include "dewbeam/src/http/server_state.h"

namespace dewbeam::http::internal {

using request_parser = bhttp::request_parser<bhttp::string_body>;

/// Bytes that are read at once while a connection waits for a request.
inline constexpr std::size_t first_read = 4096;

/// The most bytes that are read at once of a request.
inline constexpr std::size_t largest_read = 16UL * 1024;

/// A request is sent on from a copy of its body.
inline constexpr std::size_t copies_of_body = 2;

/// Most bytes that are read ahead of the parser. Bounds what the parser doesn't: the trailers and
/// the extensions of a chunked body.
inline std::size_t most_buffered_bytes(const server_limits& limits)
{
    return limits.m_most_header_bytes + first_read;
}

/// How long a server that stops waits for the first request of a connection that it has just
/// accepted.
inline constexpr std::chrono::milliseconds last_accept_wait{100};

/// Memory of a request's header fields once they are stored.
inline std::size_t stored_bytes(const fields& all)
{
    std::size_t result = all.capacity() * sizeof(field);
    for (const auto& item : all) {
        result += item.m_name.capacity() + item.m_value.capacity();
    }
    return result;
}

/// The error that ends the reading of a request.
inline read_fault explain(error_code error)
{
    if (error == bhttp::error::header_limit) {
        return {431, "header_too_large", "the header is larger than this server allows"};
    }
    if (error == bhttp::error::buffer_overflow) {
        return {431, "header_too_large",
                "the trailers, or the extension of a chunk, are larger than this server allows"};
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

inline constexpr read_fault too_many_fields{431, "too_many_fields",
                                            "the header has more fields than this server allows"};
inline constexpr read_fault memory_exhausted{
    503, "memory_exhausted", "callers hold all the memory that this server has for requests",
    std::chrono::seconds(1)};

inline bool has_unread(tcp::socket& socket)
{
    error_code error;
    return socket.available(error) > 0 && !error;
}

/// Waits for the first bytes of a request; a wait between requests has a limit of its own. Once the
/// server stops, only what has arrived is read.
template <class Stream>
asio::awaitable<error_code> wait_for_request(server_state& state, Stream& stream,
                                             beast::flat_buffer& buffer, bool is_new)
{
    auto& socket = lowest(stream).socket();
    error_code error;
    while (buffer.size() == 0) {
        const bool is_last = state.m_is_stopping;
        if (is_last && !is_new && !has_unread(socket)) {
            co_return asio::error::operation_aborted;
        }
        if (is_last) {
            lowest(stream).expires_after(last_accept_wait);
        }
        else {
            lowest(stream).expires_after(state.m_options.m_limits.m_idle_limit);
        }
        const auto got =
            co_await stream.async_read_some(buffer.prepare(first_read), to_value(error));
        buffer.commit(got);
        const bool is_stopped = error == asio::error::operation_aborted && state.m_is_stopping;
        if (error && (is_last || !is_stopped)) {
            co_return error;
        }
    }
    co_return error_code();
}

/// Reads one request.
template <class Stream>
class request_reader {
public:
    request_reader(Stream& stream, beast::flat_buffer& buffer, const server_limits& limits,
                   held_memory& held)
        : m_stream(stream), m_buffer(buffer), m_limits(limits), m_held(held)
    {
        m_parser.header_limit(static_cast<std::uint32_t>(limits.m_most_header_bytes));
        m_parser.body_limit(limits.m_most_body_bytes);
    }

    /// Reads until the request is whole, and tells a caller that asks first to go on. Gives what is
    /// wrong with it; `m_status` is 0 and `is_whole` false where the connection ended.
    asio::awaitable<read_fault> read(const strand& executor)
    {
        lowest(m_stream).expires_never();
        operation_deadline deadline(executor, lowest(m_stream).socket(), m_limits.m_read_limit);
        auto error = co_await read_header();
        if (has_too_many_fields()) {
            deadline.finish(error);
            co_return too_many_fields;
        }
        if (!error) {
            error = co_await read_body();
        }
        error = deadline.finish(error);
        m_is_whole = !error;
        if (error == asio::error::operation_aborted && m_held.must_free()) {
            co_return memory_exhausted;
        }
        co_return explain(error);
    }

    [[nodiscard]] bool is_whole() const { return m_is_whole; }
    [[nodiscard]] bool is_head() const { return m_parser.get().method() == bhttp::verb::head; }
    [[nodiscard]] bool keeps_alive() const { return m_parser.keep_alive(); }
    [[nodiscard]] bool takes_chunks() const
    {
        return m_parser.get().version() >= first_version_with_chunks;
    }

    /// Memory that the request takes until it is answered.
    [[nodiscard]] std::size_t stored_bytes() const
    {
        return internal::stored_bytes(m_request.m_fields) +
               copies_of_body * m_parser.get().body().size();
    }

    /// The request that was read. Trailers are left out: they could change its meaning.
    request take()
    {
        m_request.m_body = std::move(m_parser.get().body());
        return std::move(m_request);
    }

private:
    static constexpr unsigned first_version_with_chunks = 11;  ///< HTTP/1.1

    asio::awaitable<error_code> read_header()
    {
        error_code error;
        while (!error && !m_parser.is_header_done() && !has_too_many_fields()) {
            error = co_await read_some();
        }
        if (error || has_too_many_fields()) {
            co_return error;
        }
        const auto& head = m_parser.get();
        m_request.m_method = std::string(head.method_string());
        m_request.m_target = std::string(head.target());
        for (const auto& item : head) {
            m_request.m_fields.push_back(
                {std::string(item.name_string()), std::string(item.value())});
        }
        if (beast::iequals(head[bhttp::field::expect], "100-continue")) {
            bhttp::response<bhttp::empty_body> go_on{bhttp::status::continue_, 11};
            co_await bhttp::async_write(m_stream, go_on, to_value(error));
        }
        co_return error;
    }

    /// The parser stores fields one by one, before the header is whole.
    [[nodiscard]] bool has_too_many_fields() const
    {
        const auto& head = m_parser.get();
        const auto fields = static_cast<std::size_t>(std::distance(head.begin(), head.end()));
        return fields > m_limits.m_most_header_fields;
    }

    asio::awaitable<error_code> read_body()
    {
        error_code error;
        m_parser.eager(true);
        while (!error && !m_parser.is_done()) {
            error = co_await read_some();
        }
        co_return error;
    }

    /// Parses what was read, and reads more where that is no whole element.
    asio::awaitable<error_code> read_some()
    {
        error_code error;
        const auto parsed = m_buffer.size() > 0 ? m_parser.put(m_buffer.data(), error) : 0;
        m_buffer.consume(parsed);
        if (error == bhttp::error::need_more) {
            error = {};
        }
        if (!error && parsed == 0) {
            error = co_await read_more();
        }
        co_return error;
    }

    /// Reads what has come, and counts what the request takes then.
    asio::awaitable<error_code> read_more()
    {
        error_code error;
        const auto most = most_buffered_bytes(m_limits);
        if (m_buffer.size() >= most) {
            co_return bhttp::make_error_code(bhttp::error::buffer_overflow);
        }
        const auto room = std::min(most - m_buffer.size(), largest_read);
        const auto got = co_await m_stream.async_read_some(m_buffer.prepare(room), to_value(error));
        m_buffer.commit(got);
        m_held.set(held_memory::part::reading, m_buffer.capacity() + stored_bytes());
        if (m_held.must_free()) {
            error = asio::error::operation_aborted;
        }
        co_return error;
    }

    Stream& m_stream;
    beast::flat_buffer& m_buffer;
    const server_limits& m_limits;
    held_memory& m_held;
    request_parser m_parser;
    request m_request;  ///< without its body until that is whole
    bool m_is_whole = false;
};

}  // namespace dewbeam::http::internal
