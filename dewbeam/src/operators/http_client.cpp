#include "dewbeam/src/operators/http_client.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

namespace dewbeam::operators {

namespace {

constexpr time_span shortest_limit = std::chrono::milliseconds(1);

http::client_options options_until(steady_time deadline, const std::string& authority_file)
{
    const auto left = std::chrono::ceil<time_span>(deadline - std::chrono::steady_clock::now());
    http::client_options options;
    options.m_connect_limit = std::max(left, shortest_limit);
    options.m_silence_limit = options.m_connect_limit;
    options.m_authority_file = authority_file;
    return options;
}

absl::Status failure(const endpoint& server, const absl::Status& cause, http::progress how_far)
{
    const auto message = to_string(server) + ": " + std::string(cause.message());
    return how_far == http::progress::not_sent
               ? absl::UnavailableError("no connection to " + message)
               : absl::UnknownError("no whole answer from " + message);
}

}  // namespace

absl::StatusOr<http::response> exchange(const endpoint& server, const std::string& authority_file,
                                        const http::request& request, steady_time deadline)
{
    boost::asio::io_context context;
    boost::asio::steady_timer timer(context, deadline);
    http::client one(context, server, options_until(deadline, authority_file));
    http::response answer;
    absl::Status result;
    http::client_handlers handlers;
    handlers.m_on_head = [&](int status, const http::fields& head) {
        answer.m_status = status;
        answer.m_fields = head;
    };
    handlers.m_on_data = [&](std::string bytes) { answer.m_body += bytes; };
    handlers.m_on_end = [&](const absl::Status& status, http::progress how_far) {
        result = status.ok() ? status : failure(server, status, how_far);
        timer.cancel();
    };
    const auto running = one.start(request, std::move(handlers));
    timer.async_wait([&](const boost::system::error_code& error) {
        if (!error) {
            running->cancel();
        }
    });
    context.run();
    if (!result.ok()) {
        return result;
    }
    return answer;
}

}  // namespace dewbeam::operators
