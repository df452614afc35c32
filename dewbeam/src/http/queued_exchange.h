/// \file
/// The queue between whoever answers a request and the connection that writes the answer.
/// Internal to the module.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <utility>

#include "dewbeam/base"
#include "dewbeam/src/http/coroutines.h"
#include "dewbeam/src/http/held_memory.h"
#include "dewbeam/src/http/server.h"

namespace dewbeam::http::internal {

/// One step of an answer that waits to be written.
struct piece {
    enum class kind { whole, head, data, end, cut };
    kind m_kind = kind::data;
    response m_response;
    std::string m_data;
};

/// Answers queue here; the connection's coroutine writes them.
class queued_exchange : public exchange, public std::enable_shared_from_this<queued_exchange> {
public:
    queued_exchange(const strand& executor, std::size_t most_unsent,
                    std::shared_ptr<held_memory> held)
        : m_executor(executor),
          m_timer(executor),
          m_most_unsent(most_unsent),
          m_held(std::move(held))
    {
        m_timer.expires_at(asio::steady_timer::time_point::max());
    }

    void respond(response whole) override
    {
        push({piece::kind::whole, std::move(whole), {}}, true);
    }

    void start(int status, fields head) override
    {
        response first;
        first.m_status = status;
        first.m_fields = std::move(head);
        push({piece::kind::head, std::move(first), {}}, false);
    }

    void write(std::string bytes) override
    {
        push({piece::kind::data, {}, std::move(bytes)}, false);
    }

    void finish() override { push({piece::kind::end, {}, {}}, true); }

    void abort() override { push({piece::kind::cut, {}, {}}, true); }

    void on_gone(std::function<void()> action) override
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_over) {
                return;
            }
            if (!m_is_gone) {
                m_on_gone = std::move(action);
                return;
            }
        }
        action();
    }

    /// The connection broke or its reader is too slow; calls the handler's action once.
    void set_gone()
    {
        std::function<void()> action;
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_gone) {
                return;
            }
            m_is_gone = true;
            if (!m_is_over) {
                action = std::move(m_on_gone);
            }
            m_on_gone = nullptr;
            m_pieces.clear();
            hold(0);
        }
        if (action) {
            contain("caller_gone", action);
        }
        wake();
    }

    /// The handler threw: `whole` is the answer unless one has begun, which is cut instead. What
    /// the handler holds for this caller is released as for one that went away.
    void fail(response whole)
    {
        std::function<void()> action;
        bool has_begun = false;
        {
            const std::lock_guard lock(m_mutex);
            action = std::move(m_on_gone);
            m_on_gone = nullptr;
            has_begun = m_has_begun;
        }
        if (has_begun) {
            abort();
        }
        else {
            respond(std::move(whole));
        }
        if (action) {
            contain("caller_gone", action);
        }
    }

    /// The whole answer was written.
    void set_over()
    {
        const std::lock_guard lock(m_mutex);
        m_is_over = true;
        m_on_gone = nullptr;
        hold(0);
    }

    /// The next step, or nothing where the caller went away. The one before has been written.
    asio::awaitable<std::optional<piece>> next()
    {
        for (;;) {
            {
                const std::lock_guard lock(m_mutex);
                if (m_is_gone) {
                    co_return std::nullopt;
                }
                hold(m_held_bytes - std::exchange(m_writing_bytes, 0));
                if (!m_pieces.empty()) {
                    piece first = std::move(m_pieces.front());
                    m_pieces.pop_front();
                    merge_data(first);
                    m_unsent -= first.m_data.size();
                    m_writing_bytes = bytes_of(first);
                    co_return first;
                }
                m_is_waiting = true;
            }
            error_code error;
            co_await m_timer.async_wait(to_value(error));
        }
    }

private:
    /// Joins data pieces that wait behind one another into one write.
    void merge_data(piece& first)
    {
        while (first.m_kind == piece::kind::data && !m_pieces.empty() &&
               m_pieces.front().m_kind == piece::kind::data) {
            first.m_data += m_pieces.front().m_data;
            m_pieces.pop_front();
        }
    }

    void push(piece item, bool is_last)
    {
        bool is_too_slow = false;
        bool must_wake = false;
        {
            const std::lock_guard lock(m_mutex);
            if (m_is_closed || m_is_gone) {
                return;
            }
            must_wake = std::exchange(m_is_waiting, false);
            m_is_closed = is_last;
            m_has_begun = true;
            m_unsent += item.m_data.size();
            hold(m_held_bytes + bytes_of(item));
            is_too_slow = m_unsent > m_most_unsent;
            m_pieces.push_back(std::move(item));
        }
        if (is_too_slow) {
            log_event(log_level::warning, "caller_reads_too_slowly", {{"unsent", m_most_unsent}});
            set_gone();
            return;
        }
        if (must_wake) {
            wake();
        }
    }

    static std::size_t bytes_of(const piece& item)
    {
        return item.m_data.size() + item.m_response.m_body.size();
    }

    /// Sets what is held for the caller, under the mutex.
    void hold(std::size_t bytes)
    {
        m_held_bytes = bytes;
        m_held->set(held_memory::part::answer, bytes);
    }

    void wake()
    {
        asio::post(m_executor, [self = shared_from_this()] { self->m_timer.cancel(); });
    }

    strand m_executor;
    asio::steady_timer m_timer;
    std::size_t m_most_unsent;
    std::shared_ptr<held_memory> m_held;  ///< of the connection
    mutable std::mutex m_mutex;
    std::size_t m_held_bytes = 0;     ///< queued or being written
    std::size_t m_writing_bytes = 0;  ///< of these: the piece that `next` gave last
    std::deque<piece> m_pieces;
    std::size_t m_unsent = 0;
    bool m_has_begun = false;  ///< the first piece is queued
    bool m_is_closed = false;  ///< the last piece is queued
    bool m_is_gone = false;
    bool m_is_over = false;
    bool m_is_waiting = false;  ///< the connection sleeps until the next piece
    std::function<void()> m_on_gone;
};

}  // namespace dewbeam::http::internal
