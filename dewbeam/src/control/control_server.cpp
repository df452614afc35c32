#include "dewbeam/src/control/control_server.h"

#include <map>
#include <mutex>
#include <utility>

#include "dewbeam/caller"
#include "dewbeam/configuration"
#include "dewbeam/http"
#include "dewbeam/link"
#include "dewbeam/src/platform/listeners.h"

namespace dewbeam::control {

namespace {

using json = nlohmann::json;

constexpr time_span subscription_lease = std::chrono::seconds(3);

json to_json(const mistakes& items)
{
    json list = json::array();
    for (const auto& item : items) {
        list.push_back(
            {{"path", item.m_path}, {"value", item.m_value}, {"allowed", item.m_allowed}});
    }
    return list;
}

http::response change_response(const configuration::change_result& result)
{
    switch (result.m_status) {
        case configuration::change_status::accepted:
            return http::json_response(
                200, json{{"status", "accepted"}, {"number", result.m_number}}.dump());
        case configuration::change_status::conflict:
            return http::json_response(409, json{{"status", "conflict"},
                                                 {"number", result.m_number},
                                                 {"winner", result.m_winner}}
                                                .dump());
        case configuration::change_status::invalid:
            break;
    }
    return http::json_response(
        422, json{{"status", "invalid"}, {"mistakes", to_json(result.m_mistakes)}}.dump());
}

}  // namespace

std::vector<setting> control_schema()
{
    auto schema = platform::common_settings();
    const auto listeners = platform::listener_settings();
    schema.insert(schema.end(), listeners.begin(), listeners.end());
    const std::vector<setting> own{
        {"/controls", setting_kind::addresses, json::array(),
         "Link addresses of all control hosts, in the order of their replica numbers."},
        {"/replica", setting_kind::integer, 1, "This host's place in the list, from 1.", 1, 7},
        {"/data_folder", setting_kind::text, nullptr, "Folder for the durable state."},
    };
    schema.insert(schema.end(), own.begin(), own.end());
    return schema;
}

class control_server::implementation {
public:
    implementation(platform::program& frame, const json& settings)
        : m_frame(frame), m_settings(settings), m_incarnation(platform::new_incarnation())
    {
    }

    absl::Status start()
    {
        auto node = platform::start_node(m_settings, m_incarnation,
                                         {[this](const link::peer& from, wire::Envelope&& message) {
                                              on_message(from, message);
                                          },
                                          [this](const link::peer& gone) { on_lost(gone); }});
        if (!node.ok()) {
            return node.status();
        }
        m_node = *std::move(node);
        auto server = platform::start_http(
            m_frame.context(), m_settings,
            [this](http::request&& request, const std::shared_ptr<http::exchange>& answer) {
                answer->respond(handle(request));
            });
        if (!server.ok()) {
            return server.status();
        }
        m_server = *std::move(server);
        platform::write_address_file(m_settings, to_string(m_server->address()));
        return absl::OkStatus();
    }

    platform::program_hooks hooks()
    {
        platform::program_hooks result;
        result.m_is_ready = [] { return true; };
        result.m_in_flight = [] { return std::size_t{0}; };
        result.m_announce_leave = [this] { m_server->wind_down(); };
        result.m_stop_accepting = [this] { m_server->stop_accepting(); };
        result.m_tick = [this](time_point now) { tick(now); };
        return result;
    }

private:
    http::response handle(const http::request& request)
    {
        const auto path = http::path_of(request.m_target);
        if (path == "/healthz") {
            return http::json_response(200, R"({"status":"ok"})");
        }
        if (path == "/readyz") {
            const bool is_ready = m_frame.phase() == lifecycle::phase::serving;
            return http::json_response(is_ready ? 200 : 503,
                                       json{{"phase", to_string(m_frame.phase())}}.dump());
        }
        if (path == "/v1/configuration" && request.m_method == "GET") {
            return configuration_response();
        }
        if (path == "/v1/changes" && request.m_method == "POST") {
            return take_change(request);
        }
        if (path == "/v1/status") {
            return status_response();
        }
        auto fault = caller::bad_request("unknown_path", "there is no such path");
        fault.m_status = 404;
        return caller::to_response(fault, "");
    }

    http::response configuration_response()
    {
        const std::lock_guard lock(m_mutex);
        return http::json_response(
            200, json{{"number", m_store.m_number},
                      {"version",
                       {{"term", m_store.m_version.m_term}, {"index", m_store.m_version.m_index}}},
                      {"document", m_store.m_source}}
                     .dump());
    }

    http::response take_change(const http::request& request)
    {
        const auto wanted = configuration::decode_change(request.m_body);
        if (!wanted.ok()) {
            return caller::to_response(
                caller::bad_request("invalid_change", std::string(wanted.status().message())), "");
        }
        configuration::change_result result;
        {
            const std::lock_guard lock(m_mutex);
            const configuration_version position{1, m_store.m_version.m_index + 1};
            result = configuration::apply(m_store, *wanted, position);
        }
        log_event(log_level::info, "change_decided",
                  {{"change", wanted->m_id},
                   {"status", static_cast<int>(result.m_status)},
                   {"number", result.m_number}});
        push_to_subscribers();
        return change_response(result);
    }

    http::response status_response()
    {
        const std::lock_guard lock(m_mutex);
        return http::json_response(
            200, json{{"host", setting_value<std::string>(m_settings, "/host")},
                      {"role", "control"},
                      {"failure_domain", setting_value<std::string>(m_settings, "/failure_domain")},
                      {"phase", to_string(m_frame.phase())},
                      {"incarnation", m_incarnation.value()},
                      {"configuration",
                       {{"number", m_store.m_number},
                        {"term", m_store.m_version.m_term},
                        {"index", m_store.m_version.m_index}}},
                      {"cut_off", false},
                      {"quorum", true},
                      {"members", json::array()}}
                     .dump());
    }

    void on_message(const link::peer& from, const wire::Envelope& message)
    {
        if (!message.has_subscribe()) {
            return;
        }
        const std::lock_guard lock(m_mutex);
        m_subscribers[from] = platform::now() + subscription_lease;
        auto answer = configuration_message();
        if (link::from_wire(message.subscribe().known()) >= m_store.m_version) {
            // Nothing newer: the answer only says that control is there.
            answer.mutable_configuration_update()->clear_document();
        }
        m_node->reply(from, std::move(answer));
    }

    void on_lost(const link::peer& gone)
    {
        const std::lock_guard lock(m_mutex);
        m_subscribers.erase(gone);
    }

    wire::Envelope configuration_message() const
    {
        wire::Envelope message;
        auto& update = *message.mutable_configuration_update();
        link::to_wire(m_store.m_version, *update.mutable_version());
        update.set_number(m_store.m_number);
        update.set_document(m_store.m_source.dump());
        return message;
    }

    void push_to_subscribers()
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [peer, deadline] : m_subscribers) {
            m_node->reply(peer, configuration_message());
        }
    }

    void tick(time_point now)
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(m_subscribers, [now](const auto& item) { return item.second <= now; });
    }

    platform::program& m_frame;
    json m_settings;
    incarnation m_incarnation;
    std::mutex m_mutex;
    configuration::store m_store;
    std::map<link::peer, time_point> m_subscribers;  ///< lease deadline of each
    std::unique_ptr<link::node> m_node;
    std::unique_ptr<http::server> m_server;
};

control_server::control_server(platform::program& frame, const json& settings)
    : m_implementation(std::make_unique<implementation>(frame, settings))
{
}

control_server::~control_server() = default;

absl::Status control_server::start()
{
    return m_implementation->start();
}

platform::program_hooks control_server::hooks()
{
    return m_implementation->hooks();
}

}  // namespace dewbeam::control
