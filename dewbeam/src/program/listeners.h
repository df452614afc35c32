/// \file
/// The listeners that each program opens: the link to own processes and HTTP.
#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <vector>

#include "dewbeam/base"
#include "dewbeam/http"
#include "dewbeam/link"

namespace dewbeam::program {

/// Settings `/link/...` and `/http/...`.
std::vector<setting> listener_settings();

/// Opens the link as the settings say.
absl::StatusOr<std::unique_ptr<link::node>> start_node(const nlohmann::json& settings,
                                                       incarnation self,
                                                       link::node_handlers handlers);

/// The memory that the callers of a process may make it hold. At least one request of the largest
/// size fits, whatever the setting is.
std::shared_ptr<http::memory_budget> make_memory_budget(const nlohmann::json& settings);

/// Opens the HTTP listener as the settings say. The server's own errors have the API's shape.
/// `memory`: shared by the listeners of a process; empty for its only one.
absl::StatusOr<std::unique_ptr<http::server>> start_http(
    boost::asio::io_context& context, const nlohmann::json& settings, http::request_handler handler,
    std::shared_ptr<http::memory_budget> memory = nullptr);

/// The same for a server whose requests may come late and must then not be carried out: it sets
/// `http::request::m_sent_after`.
absl::StatusOr<std::unique_ptr<http::server>> start_dated_http(boost::asio::io_context& context,
                                                               const nlohmann::json& settings,
                                                               http::request_handler handler);

/// Opens one more HTTP listener at the address of a setting, under the limits of the first but for
/// an eighth of its connections.
absl::StatusOr<std::unique_ptr<http::server>> start_http_at(
    boost::asio::io_context& context, const nlohmann::json& settings, std::string_view address_path,
    http::request_handler handler, std::shared_ptr<http::memory_budget> memory);

/// `tcp://` addresses of a list of `IP:PORT`.
std::vector<std::string> link_addresses(const nlohmann::json& settings, std::string_view path);

}  // namespace dewbeam::program
