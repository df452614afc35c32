#include "dewbeam/src/http/server_state.h"

#include <absl/strings/str_format.h>

#include <algorithm>

#include "dewbeam/src/http/request_reader.h"

namespace dewbeam::http {

std::size_t largest_request_bytes(const server_limits& limits)
{
    return internal::copies_of_body * limits.m_most_body_bytes +
           internal::most_buffered_bytes(limits) + 2 * limits.m_most_header_bytes +
           limits.m_most_header_fields * sizeof(field);
}

namespace internal {

namespace {

/// A connection that is idle for less is kept where another one asks for its place.
constexpr std::chrono::seconds least_idle_time{1};

/// Ends what a connection can free: the request that it reads, which is then refused, or the answer
/// that its caller doesn't take.
void free_memory(server_state& state, connection_slot& slot)
{
    if (slot.m_socket == nullptr) {
        return;
    }
    state.report_ended_for_memory();
    error_code ignored;
    if (slot.m_is_reading) {
        slot.m_socket->cancel(ignored);
    }
    else if (const auto answer = slot.m_answer.lock()) {
        answer->set_gone();
        reset_connection(*slot.m_socket);
    }
}

}  // namespace

server_state::server_state(asio::io_context& context, server_options options,
                           request_handler handler, error_body make_error_body)
    : m_context(context),
      m_options(std::move(options)),
      m_handler(std::move(handler)),
      m_make_error_body(std::move(make_error_body)),
      m_acceptor(asio::make_strand(context)),
      m_turn_timer(m_acceptor.get_executor())
{
    if (!m_options.m_memory) {
        m_options.m_memory = std::make_shared<memory_budget>(default_memory_bytes);
    }
}

response server_state::error_response(const read_fault& fault) const
{
    auto result = json_response(fault.m_status,
                                m_make_error_body(fault.m_status, fault.m_code, fault.m_message));
    if (fault.m_retry_after > time_span::zero()) {
        result.m_fields.push_back(
            {"Retry-After", absl::StrFormat("%.3f", to_seconds(fault.m_retry_after))});
    }
    return result;
}

time_point server_state::clock() const
{
    return m_options.m_dates_requests ? m_options.m_now() : time_point{};
}

time_point server_state::sent_after(std::optional<time_point> not_before)
{
    if (!m_options.m_dates_requests) {
        return {};
    }
    const auto now = m_options.m_now();
    const std::lock_guard lock(m_mutex);
    return std::min(unread_since(m_reader, now), not_before.value_or(now));
}

void server_state::handle_request(request&& wanted,
                                  const std::shared_ptr<queued_exchange>& answer) const
{
    const bool is_handled = contain("http_request", [&] { m_handler(std::move(wanted), answer); });
    if (!is_handled) {
        answer->fail(error_response(
            {500, "internal_error", "the server failed while it handled this request"}));
    }
}

bool server_state::end_longest_idle()
{
    const std::lock_guard lock(m_mutex);
    const auto longest = std::min_element(m_open.begin(), m_open.end(),
                                          [](const connection_slot& a, const connection_slot& b) {
                                              return a.m_idle_since.load() < b.m_idle_since.load();
                                          });
    const auto latest = std::chrono::steady_clock::now() - least_idle_time;
    if (longest == m_open.end() || longest->m_idle_since.load() > latest) {
        return false;
    }
    longest->m_idle_since = std::chrono::steady_clock::time_point::max();
    asio::post(longest->m_executor, [kept = longest->shared_from_this()] {
        error_code ignored;
        if (kept->m_socket != nullptr && kept->m_is_idle && !has_unread(*kept->m_socket)) {
            kept->m_socket->cancel(ignored);
        }
    });
    return true;
}

void server_state::report_ended_for_memory()
{
    const auto now = std::chrono::steady_clock::now();
    std::uint64_t ended = 0;
    {
        const std::lock_guard lock(m_mutex);
        ended = ++m_ended_for_memory;
        if (now < m_next_memory_log) {
            return;
        }
        m_next_memory_log = now + std::chrono::seconds(1);
    }
    log_event(log_level::warning, "caller_memory_exhausted",
              {{"held_bytes", m_options.m_memory->held_bytes()}, {"connections_ended", ended}});
}

open_connection::open_connection(server_state& state, tcp::socket& socket, const strand& executor)
    : m_state(state), m_slot(std::make_shared<connection_slot>(socket, executor))
{
    m_held = std::make_shared<held_memory>(
        state.m_options.m_memory,
        [executor, shared = state.weak_from_this(), weak = m_slot->weak_from_this()] {
            asio::post(executor, [shared, weak] {
                const auto server = shared.lock();
                const auto slot = weak.lock();
                if (server && slot) {
                    free_memory(*server, *slot);
                }
            });
        });
    const std::lock_guard lock(m_state.m_mutex);
    m_state.m_open.push_back(*m_slot);
}

open_connection::~open_connection()
{
    m_slot->m_socket = nullptr;
    const std::lock_guard lock(m_state.m_mutex);
    m_state.m_open.erase(connection_list::s_iterator_to(*m_slot));
}

}  // namespace internal

}  // namespace dewbeam::http
