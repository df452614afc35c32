/// \file
/// Writes the pieces of one answer to its connection. Internal to the module.
#pragma once

#include <atomic>
#include <utility>

#include "dewbeam/src/http/operation_deadline.h"
#include "dewbeam/src/http/queued_exchange.h"

namespace dewbeam::http::internal {

/// A whole response in Beast's form.
inline bhttp::response<bhttp::string_body> to_beast(response&& whole, bool keep_alive, bool is_head)
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

/// Writes the pieces of one answer; gives whether the connection may go on.
template <class Stream>
class answer_writer {
public:
    /// `takes_chunks`: the caller speaks HTTP/1.1. `is_winding_down` is read as the head goes out:
    /// a stop that began while the request ran still tells the caller to move on.
    answer_writer(Stream& stream, strand executor, time_span limit, bool keep_alive, bool is_head,
                  bool takes_chunks, const std::atomic<bool>& is_winding_down)
        : m_stream(stream),
          m_executor(std::move(executor)),
          m_limit(limit),
          m_keep_alive(keep_alive),
          m_is_head(is_head),
          m_takes_chunks(takes_chunks),
          m_is_winding_down(is_winding_down)
    {
    }

    /// Writes until the answer's end; false where the connection must be closed.
    asio::awaitable<bool> run(queued_exchange& answer)
    {
        for (;;) {
            auto item = co_await answer.next();
            if (!item || item->m_kind == piece::kind::cut) {
                if (!m_takes_chunks) {
                    close();
                }
                answer.set_over();
                co_return false;
            }
            const auto kind = item->m_kind;
            operation_deadline deadline(m_executor, lowest(m_stream).socket(), m_limit);
            const auto error = deadline.finish(co_await write(std::move(*item)));
            if (error) {
                close();
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
    /// Nothing can be sent behind a part of a message. Without chunks the end of the connection
    /// ends the message, so that only a reset tells a part from the whole.
    void close()
    {
        error_code ignored;
        auto& socket = lowest(m_stream).socket();
        if (m_takes_chunks) {
            socket.close(ignored);
        }
        else {
            reset_connection(socket);
        }
    }

    asio::awaitable<error_code> write(piece item)
    {
        error_code error;
        const bool has_head = item.m_kind == piece::kind::whole || item.m_kind == piece::kind::head;
        m_keep_alive = m_keep_alive && !(has_head && m_is_winding_down);
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
                m_keep_alive = m_keep_alive && m_takes_chunks;
                head.keep_alive(m_keep_alive);
                head.chunked(m_takes_chunks);
                bhttp::response_serializer<bhttp::empty_body> serializer(head);
                co_await bhttp::async_write_header(m_stream, serializer, to_value(error));
                break;
            }
            case piece::kind::data:
                co_await write_data(item.m_data, error);
                break;
            case piece::kind::end:
                if (m_takes_chunks) {
                    co_await asio::async_write(m_stream, bhttp::make_chunk_last(), to_value(error));
                }
                break;
            case piece::kind::cut:
                break;
        }
        co_return error;
    }

    asio::awaitable<void> write_data(const std::string& data, error_code& error)
    {
        if (data.empty()) {
            co_return;  // an empty chunk would be the last one
        }
        const auto bytes = asio::buffer(data);
        if (m_takes_chunks) {
            co_await asio::async_write(m_stream, bhttp::make_chunk(bytes), to_value(error));
        }
        else {
            co_await asio::async_write(m_stream, bytes, to_value(error));
        }
    }

    Stream& m_stream;
    strand m_executor;
    time_span m_limit;
    bool m_keep_alive;
    bool m_is_head;
    bool m_takes_chunks;
    const std::atomic<bool>& m_is_winding_down;
};

}  // namespace dewbeam::http::internal
