/// \file
/// A time limit for one operation on a connection. Internal to the module.
#pragma once

#include <memory>
#include <utility>

#include "dewbeam/base"
#include "dewbeam/src/http/coroutines.h"

namespace dewbeam::http::internal {

/// Ends what a socket has under way when the limit passes, and leaves it open. The expiry of a
/// `tcp_stream` would close it, and can't be set for one direction while the other is in use.
class operation_deadline {
public:
    operation_deadline(const strand& executor, tcp::socket& socket, time_span limit)
        : m_timer(executor, limit), m_is_over(std::make_shared<bool>(false))
    {
        m_timer.async_wait([&socket, is_over = m_is_over](const error_code& error) {
            if (!error && !*is_over) {
                *is_over = true;
                error_code ignored;
                socket.cancel(ignored);
            }
        });
    }

    /// The operation ended with `error`; gives a timeout in its place where this deadline ended it.
    error_code finish(error_code error)
    {
        const bool has_expired = std::exchange(*m_is_over, true);
        m_timer.cancel();
        return has_expired && error ? error_code(beast::error::timeout) : error;
    }

private:
    asio::steady_timer m_timer;
    std::shared_ptr<bool> m_is_over;  ///< shared with a wait that may outlive this object
};

}  // namespace dewbeam::http::internal
