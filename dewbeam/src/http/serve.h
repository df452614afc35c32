/// \file
/// Serves the requests of one connection over a plain or a TLS stream. Internal to the module.
#pragma once

#include <optional>
#include <utility>

#include "dewbeam/src/http/answer_writer.h"
#include "dewbeam/src/http/caller_watch.h"
#include "dewbeam/src/http/request_reader.h"

namespace dewbeam::http::internal {

/// Writes an error and ends the connection.
template <class Stream>
asio::awaitable<void> refuse_request(server_state& state, Stream& stream, const read_fault& fault)
{
    if (fault.m_status == 0) {
        co_return;
    }
    error_code error;
    lowest(stream).expires_after(state.m_options.m_limits.m_write_limit);
    auto message = to_beast(state.error_response(fault), false, false);
    co_await bhttp::async_write(stream, message, to_value(error));
    // The caller may still be sending: without this a reset could overtake the answer.
    lowest(stream).socket().shutdown(tcp::socket::shutdown_send, error);
    constexpr std::size_t most_passed_over = 1024UL * 1024;
    std::size_t passed_over = 0;
    beast::flat_buffer rest;
    lowest(stream).expires_after(std::chrono::seconds(1));
    while (!error && passed_over < most_passed_over) {
        passed_over += co_await stream.async_read_some(rest.prepare(first_read), to_value(error));
    }
}

/// Writes the answer. \returns whether the connection may go on
template <class Stream>
asio::awaitable<bool> write_answer(answer_writer<Stream>& writer, queued_exchange& answer)
{
    try {
        co_return co_await writer.run(answer);
    }
    catch (const std::exception& error) {
        log_event(log_level::error, "handler_failed",
                  {{"where", "http_answer"}, {"reason", error.what()}});
    }
    answer.set_gone();
    co_return false;
}

/// What a connection keeps from one request to the next.
struct connection_progress {
    explicit connection_progress(const server_state& state) : m_not_before(state.clock()) {}

    beast::flat_buffer m_buffer;
    bool m_is_new = true;
    std::optional<time_point> m_not_before;  ///< of the next request
    std::optional<counted> m_unanswered;     ///< kept until the next one is read, once it stops
};

/// Passes a request on and writes its answer. \returns whether the connection may go on
template <class Stream>
asio::awaitable<bool> answer_request(server_state& state, Stream& stream, const strand& executor,
                                     request_reader<Stream>& reader, open_connection& open,
                                     connection_progress& progress)
{
    const auto& limits = state.m_options.m_limits;
    const bool keeps_alive = reader.keeps_alive() && !state.m_is_winding_down;
    auto answer =
        std::make_shared<queued_exchange>(executor, limits.m_most_unsent_bytes, open.held());
    open.slot().m_answer = answer;
    const auto read_at = state.clock();
    lowest(stream).expires_never();
    caller_watch<Stream> watch(stream, progress.m_buffer, executor,
                               limits.m_most_header_bytes + limits.m_most_body_bytes, *open.held());
    watch.start(executor, answer);
    auto wanted = reader.take();
    wanted.m_sent_after = state.sent_after(std::exchange(progress.m_not_before, std::nullopt));
    state.handle_request(std::move(wanted), answer);
    answer_writer<Stream> writer(stream, executor, limits.m_write_limit, keeps_alive,
                                 reader.is_head(), reader.takes_chunks(), state.m_is_winding_down);
    const bool goes_on = co_await write_answer(writer, *answer);
    open.held()->set(held_memory::part::request, 0);
    co_await watch.stop();
    if (progress.m_buffer.size() > 0) {
        progress.m_not_before = read_at;
    }
    else {
        progress.m_buffer.shrink_to_fit();
    }
    open.held()->set(held_memory::part::reading, progress.m_buffer.capacity());
    co_return goes_on;
}

/// Reads the next request and has it answered. \returns whether the connection may go on
template <class Stream>
asio::awaitable<bool> serve_next(server_state& state, Stream& stream, const strand& executor,
                                 std::shared_ptr<counted>& accepted, open_connection& open,
                                 connection_progress& progress)
{
    auto& slot = open.slot();
    slot.set_idle(true);
    const auto error =
        co_await wait_for_request(state, stream, progress.m_buffer, progress.m_is_new);
    slot.set_idle(false);
    if (error) {
        co_return false;
    }
    std::optional<counted> reading(std::in_place, state.m_reading);
    slot.m_last_look.reset();
    accepted.reset();
    progress.m_unanswered.reset();
    progress.m_is_new = false;
    std::optional<request_reader<Stream>> reader(std::in_place, stream, progress.m_buffer,
                                                 state.m_options.m_limits, *open.held());
    slot.m_is_reading = true;
    auto fault = co_await reader->read(executor);
    slot.m_is_reading = false;
    if (reader->is_whole() && !open.held()->begin_request(reader->stored_bytes())) {
        fault = memory_exhausted;
    }
    if (!reader->is_whole() || fault.m_status != 0) {
        reader.reset();
        progress.m_buffer.clear();
        progress.m_buffer.shrink_to_fit();
        open.held()->set(held_memory::part::reading, 0);
        co_await refuse_request(state, stream, fault);
        co_return false;
    }
    progress.m_unanswered.emplace(state.m_unanswered);
    reading.reset();
    co_return co_await answer_request(state, stream, executor, *reader, open, progress);
}

/// Serves the requests of one connection, one after the other.
template <class Stream>
asio::awaitable<void> serve(server_state& state, Stream& stream, const strand& executor,
                            std::shared_ptr<counted>& accepted)
{
    open_connection open(state, lowest(stream).socket(), executor);
    connection_progress progress(state);
    bool goes_on = true;
    while (goes_on) {
        if (!state.m_is_stopping) {
            accepted.reset();
            progress.m_unanswered.reset();
        }
        goes_on = co_await serve_next(state, stream, executor, accepted, open, progress);
    }
}

}  // namespace dewbeam::http::internal
