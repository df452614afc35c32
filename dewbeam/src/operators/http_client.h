/// \file
/// One HTTP request and its whole answer before a deadline, over TCP or TLS.
#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

#include "dewbeam/base"
#include "dewbeam/http"

namespace dewbeam::operators {

/// The clock of deadlines at the rim.
using steady_time = std::chrono::steady_clock::time_point;

/// Sends the request on a new connection and reads the whole answer before `deadline`.
/// `authority_file` is the PEM of the trusted authority; empty: no TLS.
///
/// Errors: `kUnavailable` where nothing was sent; `kUnknown` where the request may have been
/// carried out although no whole answer came.
absl::StatusOr<http::response> exchange(const endpoint& server, const std::string& authority_file,
                                        const http::request& request, steady_time deadline);

}  // namespace dewbeam::operators
