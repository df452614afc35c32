#include "dewbeam/src/http/server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <utility>

#include "dewbeam/src/http/server_state.h"

namespace dewbeam::http {

namespace {

using namespace internal;

/// How long a server that stops waits for the rest of requests that it has begun to read.
constexpr std::chrono::seconds read_grace{1};
/// Connections beyond the limit that are told so at a time. Further ones are closed at once.
constexpr std::size_t most_refusals = 32;

constexpr auto log_end_of_connection = [](const std::exception_ptr& thrown) {
    log_coroutine_end("http_connection", thrown);
};

/// Turns with the loop that reads requests, so that it shows when that loop is held up.
asio::awaitable<void> watch_reader(std::shared_ptr<server_state> state)
{
    while (!state->m_is_stopping) {
        {
            const std::lock_guard lock(state->m_mutex);
            begin_turn(state->m_reader, state->m_options.m_now());
        }
        constexpr std::chrono::milliseconds turn{100};
        error_code error;
        state->m_turn_timer.expires_after(turn);
        co_await state->m_turn_timer.async_wait(to_value(error));
    }
}

/// Serves a connection, unless too many are open of which none is idle.
void admit(const std::shared_ptr<server_state>& state, tcp::socket socket, const strand& executor)
{
    const bool is_full = ++state->m_connections > state->m_options.m_limits.m_most_connections &&
                         !state->end_longest_idle();
    if (is_full && (state->m_tls || state->m_refusals >= most_refusals)) {
        --state->m_connections;
    }
    else if (is_full) {
        ++state->m_refusals;
        asio::co_spawn(executor, refuse_connection(state, std::move(socket)),
                       log_end_of_connection);
    }
    else {
        const auto serve_one = state->m_tls ? serve_tls : serve_plain;
        asio::co_spawn(executor,
                       serve_one(state, std::move(socket), executor,
                                 std::make_shared<counted>(state->m_looks)),
                       log_end_of_connection);
    }
}

/// Accepts what waits in the listener's queue: requests on such connections have been sent, and a
/// closed listener would reset them.
void accept_waiting(const std::shared_ptr<server_state>& state)
{
    error_code error;
    state->m_acceptor.non_blocking(true, error);
    while (!error) {
        const auto executor = asio::make_strand(state->m_context);
        tcp::socket socket(executor);
        state->m_acceptor.accept(socket, error);
        if (!error) {
            admit(state, std::move(socket), executor);
        }
    }
}

asio::awaitable<void> accept_all(std::shared_ptr<server_state> state)
{
    while (!state->m_is_stopping) {
        error_code error;
        const auto executor = asio::make_strand(state->m_context);
        auto socket = co_await state->m_acceptor.async_accept(executor, to_value(error));
        if (error == asio::error::operation_aborted) {
            break;
        }
        if (error) {
            log_event(log_level::error, "accept_failed", {{"reason", error.message()}});
            asio::steady_timer pause(co_await asio::this_coro::executor,
                                     std::chrono::milliseconds(50));
            co_await pause.async_wait(to_value(error));
            continue;
        }
        admit(state, std::move(socket), executor);
    }
    accept_waiting(state);
    error_code ignored;
    state->m_acceptor.close(ignored);
    state->m_last_accepts.reset();
}

endpoint address_of(const tcp::acceptor& acceptor)
{
    error_code error;
    const auto local = acceptor.local_endpoint(error);
    return {local.address().to_string(), local.port()};
}

absl::Status to_status(std::string_view what, const error_code& error)
{
    return absl::UnavailableError(std::string(what) + ": " + error.message());
}

}  // namespace

server::server(std::shared_ptr<internal::server_state> state) : m_shared(std::move(state)) {}

server::~server()
{
    stop_accepting();
}

absl::StatusOr<std::unique_ptr<server>> server::start(asio::io_context& context,
                                                      server_options options,
                                                      request_handler handler,
                                                      error_body make_error_body)
{
    auto state = std::make_shared<server_state>(context, std::move(options), std::move(handler),
                                                std::move(make_error_body));
    const auto& listen = state->m_options.m_listen;
    error_code error;
    if (!state->m_options.m_certificate_file.empty()) {
        auto& tls = state->m_tls.emplace(asio::ssl::context::tls_server);
        tls.set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_sslv2 |
                        asio::ssl::context::no_sslv3 | asio::ssl::context::no_tlsv1 |
                        asio::ssl::context::no_tlsv1_1);
        tls.use_certificate_chain_file(state->m_options.m_certificate_file, error);
        if (error) {
            return to_status("certificate " + state->m_options.m_certificate_file, error);
        }
        tls.use_private_key_file(state->m_options.m_key_file, asio::ssl::context::pem, error);
        if (error) {
            return to_status("key " + state->m_options.m_key_file, error);
        }
    }
    const tcp::endpoint wanted(asio::ip::make_address(listen.m_ip), listen.m_port);
    auto& acceptor = state->m_acceptor;
    acceptor.open(wanted.protocol(), error);
    if (!error) {
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(wanted, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return to_status("can't listen on " + to_string(listen), error);
    }
    state->m_address = address_of(acceptor);
    asio::co_spawn(acceptor.get_executor(), accept_all(state), log_end_of_connection);
    if (state->m_options.m_dates_requests) {
        require(state->m_options.m_now != nullptr, "a server that dates requests needs a clock");
        asio::co_spawn(acceptor.get_executor(), watch_reader(state), log_end_of_connection);
    }
    return std::unique_ptr<server>(new server(std::move(state)));
}

endpoint server::address() const
{
    return m_shared->m_address;
}

void server::wind_down()
{
    m_shared->m_is_winding_down = true;
}

void server::stop_accepting()
{
    wind_down();
    const std::lock_guard lock(m_shared->m_mutex);
    if (m_shared->m_is_stopping) {
        return;
    }
    // Each look at what may still be unread counts from now on, so that the process waits for it.
    m_shared->m_read_deadline = std::chrono::steady_clock::now() + read_grace;
    m_shared->m_last_accepts = std::make_shared<counted>(m_shared->m_looks);
    m_shared->m_is_stopping = true;
    for (auto& slot : m_shared->m_open) {
        auto look = std::make_shared<counted>(m_shared->m_looks);
        asio::post(slot.m_executor, [kept = slot.shared_from_this(), look = std::move(look)] {
            error_code ignored;
            if (kept->m_socket != nullptr && kept->m_is_idle) {
                kept->m_last_look = look;
                kept->m_socket->cancel(ignored);
            }
        });
    }
    asio::post(m_shared->m_acceptor.get_executor(), [state = m_shared] {
        error_code ignored;
        state->m_acceptor.cancel(ignored);
        state->m_turn_timer.cancel();
    });
}

std::size_t server::unanswered() const
{
    const bool waits_for_readers =
        std::chrono::steady_clock::now() < m_shared->m_read_deadline.load();
    // Read in the order in which requests move on, so that none is missed.
    const bool looks = waits_for_readers && m_shared->m_looks > 0;
    const std::size_t reading = waits_for_readers ? m_shared->m_reading.load() : 0;
    return std::max(reading + m_shared->m_unanswered, static_cast<std::size_t>(looks ? 1 : 0));
}

std::size_t server::connections() const
{
    return m_shared->m_connections;
}

}  // namespace dewbeam::http
