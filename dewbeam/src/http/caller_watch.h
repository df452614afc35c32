/// \file
/// Notices that a caller went away while its answer is under way. Internal to the module.
#pragma once

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "dewbeam/src/http/queued_exchange.h"

namespace dewbeam::http::internal {

/// Whether the other end has closed or reset the connection, also behind bytes not read yet.
inline bool is_closed_by_peer(tcp::socket& socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return true;
    }
    return info.tcpi_state != TCP_ESTABLISHED;
}

/// Reads ahead while an answer is under way: a caller may send its next request, or anything else,
/// before it leaves, and its end shows only behind those bytes. They are kept for the next request.
/// The object and what it refers to must stay until `stop` has returned.
template <class Stream>
class caller_watch {
public:
    /// Reads no more than `most_bytes` ahead, and counts what lies there in `held`.
    caller_watch(Stream& stream, beast::flat_buffer& buffer, const strand& executor,
                 std::size_t most_bytes, held_memory& held)
        : m_stream(stream),
          m_buffer(buffer),
          m_most_bytes(most_bytes),
          m_held(held),
          m_timer(executor)
    {
        m_buffer.max_size(std::max(m_buffer.size(), most_bytes + read_size));
    }

    /// Tells `answer` when its caller is gone.
    void start(const strand& executor, const std::shared_ptr<queued_exchange>& answer)
    {
        asio::co_spawn(executor, run(answer), asio::detached);
    }

    /// Ends the watch. Nothing reads from the connection any more when this is done.
    asio::awaitable<void> stop()
    {
        m_is_stopped = true;
        error_code error;
        lowest(m_stream).socket().cancel(error);
        m_timer.cancel();
        while (!m_is_done) {
            m_timer.expires_at(asio::steady_timer::time_point::max());
            co_await m_timer.async_wait(to_value(error));
        }
    }

private:
    /// Between two looks at a connection from which nothing more is read.
    static constexpr std::chrono::milliseconds look_interval{100};
    static constexpr std::size_t read_size = 4096;

    asio::awaitable<void> run(std::shared_ptr<queued_exchange> answer)
    {
        error_code error;
        while (!m_is_stopped && !error && m_buffer.size() < m_most_bytes) {
            const auto got =
                co_await m_stream.async_read_some(m_buffer.prepare(read_size), to_value(error));
            m_buffer.commit(got);
            m_held.set(held_memory::part::reading, m_buffer.capacity());
        }
        bool is_gone = static_cast<bool>(error);
        while (!m_is_stopped && !is_gone) {
            m_timer.expires_after(look_interval);
            co_await m_timer.async_wait(to_value(error));
            auto& socket = lowest(m_stream).socket();
            is_gone = is_closed_by_peer(socket);
            m_held.set(held_memory::part::reading, m_buffer.capacity() + socket.available(error));
        }
        if (!m_is_stopped) {
            answer->set_gone();
        }
        m_is_done = true;
        m_timer.cancel();
    }

    Stream& m_stream;
    beast::flat_buffer& m_buffer;
    std::size_t m_most_bytes;
    held_memory& m_held;
    asio::steady_timer m_timer;  ///< of the looks, and of whoever waits for the end
    bool m_is_stopped = false;
    bool m_is_done = false;
};

}  // namespace dewbeam::http::internal
