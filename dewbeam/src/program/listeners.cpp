#include "dewbeam/src/program/listeners.h"

#include <sys/resource.h>

#include <algorithm>
#include <utility>

#include "dewbeam/caller"
#include "dewbeam/src/program/program.h"

namespace dewbeam::program {

namespace {

using json = nlohmann::json;

/// A further listener takes this part of the connections of the first.
constexpr std::size_t further_listener_part = 8;

time_span milliseconds_setting(const json& settings, const char* path)
{
    return std::chrono::milliseconds(setting_value<std::int64_t>(settings, path));
}

http::server_limits read_limits(const json& settings)
{
    http::server_limits limits;
    limits.m_most_header_bytes = setting_value<std::size_t>(settings, "/http/most_header_bytes");
    limits.m_most_body_bytes = setting_value<std::size_t>(settings, "/http/most_body_bytes");
    limits.m_most_header_fields = setting_value<std::size_t>(settings, "/http/most_header_fields");
    limits.m_most_connections = setting_value<std::size_t>(settings, "/http/most_connections");
    limits.m_most_unsent_bytes = setting_value<std::size_t>(settings, "/http/most_unsent_bytes");
    limits.m_read_limit = milliseconds_setting(settings, "/http/read_ms");
    limits.m_write_limit = milliseconds_setting(settings, "/http/write_ms");
    limits.m_idle_limit = milliseconds_setting(settings, "/http/idle_ms");
    return limits;
}

void log_replaced_setting(const char* event, const char* setting, std::size_t value,
                          std::size_t used, const char* reason)
{
    log_event(log_level::warning, event,
              {{"setting", setting}, {"value", value}, {"used", used}, {"reason", reason}});
}

/// Connections that leave a quarter of the process's descriptors to upstreams, links and files.
std::size_t connections_within_descriptors(std::size_t wanted)
{
    rlimit descriptors{};
    if (::getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return wanted;
    }
    const auto most = std::max<std::size_t>(1, descriptors.rlim_cur / 4 * 3);
    if (most < wanted) {
        log_replaced_setting("setting_lowered", "/http/most_connections", wanted, most,
                             "the process may open no more descriptors");
    }
    return std::min(wanted, most);
}

http::server_options http_options(const json& settings, std::string_view address_path,
                                  std::shared_ptr<http::memory_budget> memory)
{
    http::server_options options;
    options.m_memory = memory ? std::move(memory) : make_memory_budget(settings);
    options.m_listen = parse_endpoint(setting_value<std::string>(settings, address_path)).value();
    options.m_limits = read_limits(settings);
    options.m_limits.m_most_connections =
        connections_within_descriptors(options.m_limits.m_most_connections);
    options.m_certificate_file = setting_value<std::string>(settings, "/http/certificate_file");
    options.m_key_file = setting_value<std::string>(settings, "/http/certificate_key_file");
    return options;
}

std::string api_error(int status, std::string_view code, std::string_view message)
{
    auto fault = caller::bad_request(std::string(code), std::string(message));
    fault.m_status = status;
    fault.m_outcome = caller::run_outcome::not_run;
    return caller::to_json(fault);
}

}  // namespace

std::vector<setting> listener_settings()
{
    constexpr std::int64_t most_bytes = 1'073'741'824;
    constexpr std::int64_t longest_ms = 3'600'000;
    const http::server_limits standard;
    const auto ms = [](time_span span) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    };
    return {
        {"/deployment", setting_kind::name, link::unnamed_deployment.value(),
         "Name of this deployment: the same at all its processes, and at no other deployment's. "
         "Processes of other deployments are refused."},
        {"/link/listen", setting_kind::address, "127.0.0.1:0",
         "Address for dewbeam's own processes."},
        {"/link/advertise", setting_kind::text, "",
         "IP:PORT at which other processes reach the link address, where it differs, as behind a "
         "port mapping; empty: the same."},
        {"/link/key_file", setting_kind::file, "",
         "JSON file with the CURVE keys of the deployment; empty: no keys."},
        {"/link/most_message_bytes", setting_kind::integer,
         link::node_options{}.m_most_message_bytes,
         "Largest message between dewbeam's own processes; the same at all of them (bytes).",
         1'048'576, 2'147'483'647},
        {"/link/most_held_bytes", setting_kind::integer, link::node_options{}.m_most_held_bytes,
         "Bytes that other processes have sent on connections that they opened, and that this one "
         "hasn't read; one message of the largest size always fits (bytes).",
         1024, 17'179'869'184},
        {"/link/most_connections", setting_kind::integer, link::node_options{}.m_most_connections,
         "Connections of other processes to the link address that are open at once.", 1, 1'000'000},
        {"/http/listen", setting_kind::address, "127.0.0.1:0", "Address of the HTTP listener."},
        {"/http/certificate_file", setting_kind::file, "",
         "PEM file with the certificate chain; empty: no TLS."},
        {"/http/certificate_key_file", setting_kind::file, "",
         "PEM file with the certificate's key."},
        {"/http/most_header_bytes", setting_kind::integer, standard.m_most_header_bytes,
         "Largest header of a request (bytes).", 256, most_bytes},
        {"/http/most_body_bytes", setting_kind::integer, standard.m_most_body_bytes,
         "Largest body of a request (bytes).", 256, most_bytes},
        {"/http/most_header_fields", setting_kind::integer, standard.m_most_header_fields,
         "Fields of a request's header.", 16, 65'536},
        {"/http/most_held_bytes", setting_kind::integer, http::default_memory_bytes,
         "Memory that the callers of this process may make it hold: requests that come, wait and "
         "run, and answers that they don't take. Connections that hold 4 KiB or less don't count "
         "(bytes).",
         1024, 17'179'869'184},
        {"/http/most_connections", setting_kind::integer, standard.m_most_connections,
         "Connections that are open at once.", 1, 1'000'000},
        {"/http/most_unsent_bytes", setting_kind::integer, standard.m_most_unsent_bytes,
         "Bytes of one answer that may wait for a slow reader.", 1024, most_bytes},
        {"/http/read_ms", setting_kind::integer, ms(standard.m_read_limit),
         "Time for a whole request to arrive (ms).", 10, longest_ms},
        {"/http/write_ms", setting_kind::integer, ms(standard.m_write_limit),
         "Time for one piece of an answer to be taken (ms).", 10, longest_ms},
        {"/http/idle_ms", setting_kind::integer, ms(standard.m_idle_limit),
         "Time that a connection may wait between requests (ms).", 10, longest_ms},
    };
}

absl::StatusOr<std::unique_ptr<link::node>> start_node(const json& settings, incarnation self,
                                                       link::node_handlers handlers)
{
    link::node_options options;
    options.m_listen = parse_endpoint(setting_value<std::string>(settings, "/link/listen")).value();
    const auto advertised = setting_value<std::string>(settings, "/link/advertise");
    if (!advertised.empty()) {
        auto address = parse_endpoint(advertised);
        if (!address.ok()) {
            return absl::InvalidArgumentError("/link/advertise: " +
                                              std::string(address.status().message()));
        }
        options.m_advertised = *std::move(address);
    }
    options.m_deployment = deployment_id(setting_value<std::string>(settings, "/deployment"));
    options.m_host = host_id(setting_value<std::string>(settings, "/host"));
    options.m_incarnation = self;
    options.m_most_message_bytes =
        setting_value<std::int64_t>(settings, "/link/most_message_bytes");
    options.m_most_held_bytes = setting_value<std::size_t>(settings, "/link/most_held_bytes");
    options.m_most_connections = setting_value<std::size_t>(settings, "/link/most_connections");
    const auto key_file = setting_value<std::string>(settings, "/link/key_file");
    if (!key_file.empty()) {
        auto keys = link::load_link_keys(key_file);
        if (!keys.ok()) {
            return keys.status();
        }
        options.m_keys = *std::move(keys);
    }
    else if (options.m_deployment == link::unnamed_deployment) {
        log_event(log_level::warning, "deployment_unnamed",
                  {{"reason",
                    "without a name or keys, processes of other unnamed deployments are "
                    "taken in where an address in the settings leads to them"}});
    }
    return link::node::start(std::move(options), std::move(handlers));
}

std::shared_ptr<http::memory_budget> make_memory_budget(const json& settings)
{
    const auto limits = read_limits(settings);
    const auto wanted = setting_value<std::size_t>(settings, "/http/most_held_bytes");
    const auto least = http::largest_request_bytes(limits);
    if (wanted < least) {
        log_replaced_setting("setting_raised", "/http/most_held_bytes", wanted, least,
                             "the largest request that the limits allow must fit");
    }
    return std::make_shared<http::memory_budget>(std::max(wanted, least));
}

absl::StatusOr<std::unique_ptr<http::server>> start_http(
    boost::asio::io_context& context, const json& settings, http::request_handler handler,
    std::shared_ptr<http::memory_budget> memory)
{
    return http::server::start(context, http_options(settings, "/http/listen", std::move(memory)),
                               std::move(handler), api_error);
}

absl::StatusOr<std::unique_ptr<http::server>> start_dated_http(boost::asio::io_context& context,
                                                               const json& settings,
                                                               http::request_handler handler)
{
    auto options = http_options(settings, "/http/listen", nullptr);
    options.m_dates_requests = true;
    options.m_now = &now;
    return http::server::start(context, std::move(options), std::move(handler), api_error);
}

absl::StatusOr<std::unique_ptr<http::server>> start_http_at(
    boost::asio::io_context& context, const json& settings, std::string_view address_path,
    http::request_handler handler, std::shared_ptr<http::memory_budget> memory)
{
    auto options = http_options(settings, address_path, std::move(memory));
    auto& most = options.m_limits.m_most_connections;
    most = std::max<std::size_t>(1, most / further_listener_part);
    return http::server::start(context, std::move(options), std::move(handler), api_error);
}

std::vector<std::string> link_addresses(const json& settings, std::string_view path)
{
    std::vector<std::string> result;
    for (const auto& address : setting_value<std::vector<std::string>>(settings, path)) {
        result.push_back("tcp://" + address);
    }
    return result;
}

}  // namespace dewbeam::program
