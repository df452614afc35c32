/// \file
/// One HTTP request and its whole answer, over TCP or TLS.
#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::operators {

/// The clock of deadlines at the rim.
using steady_time = std::chrono::steady_clock::time_point;

/// How to reach servers: in the clear, or over TLS with certificates checked.
struct tls_options {
    bool m_is_on = false;
    std::string m_ca_file;  ///< PEM; empty: the certificates that the host trusts
};

/// A header line.
struct http_header {
    std::string m_name;
    std::string m_value;
};

/// A request.
struct http_request {
    std::string m_method = "GET";
    std::string m_target = "/";
    std::vector<http_header> m_headers{};
    std::string m_body{};
};

/// A whole answer.
struct http_reply {
    unsigned m_status = 0;
    std::vector<http_header> m_headers;
    std::string m_body;

    /// The value of a header by its name in any case; empty where it is absent.
    [[nodiscard]] std::string header(std::string_view name) const;
};

/// Largest answer that is read.
inline constexpr std::size_t most_reply_bytes = 64U << 20U;

/// Sends the request on a new connection and reads the whole answer before `deadline`.
///
/// Errors: `kUnavailable` where no connection came about, so nothing was sent; `kUnknown` where
/// the request may have been carried out although no whole answer came.
absl::StatusOr<http_reply> exchange(const endpoint& server, const tls_options& tls,
                                    const http_request& request, steady_time deadline);

}  // namespace dewbeam::operators
