#include "dewbeam/src/entry/pages.h"

#include "dewbeam/src/entry/status_page.h"

namespace dewbeam::entry {

namespace {

using json = nlohmann::json;

http::response readiness(const entry_state& state)
{
    const bool is_ready = state.m_frame.phase() == lifecycle::phase::serving;
    return http::json_response(is_ready ? 200 : 503,
                               write_json({{"phase", to_string(state.m_frame.phase())}}));
}

std::string burn_text(const entry_state& state)
{
    return write_json({{"host", setting_value<std::string>(state.m_settings, "/host")},
                       {"burn", state.m_burn.to_json()}});
}

std::string status_text(const entry_state& state)
{
    const auto active = state.m_configuration.current();
    status_facts facts;
    facts.m_host = setting_value<std::string>(state.m_settings, "/host");
    facts.m_failure_domain = setting_value<std::string>(state.m_settings, "/failure_domain");
    facts.m_phase = state.m_frame.phase();
    facts.m_incarnation = state.m_incarnation;
    facts.m_number = active->m_number;
    facts.m_version = active->m_version;
    auto page = status_page(facts, *state.m_membership, program::now());
    page["in_flight"] = state.m_requests.size();
    page["loads"] = loads_to_json(state.m_members.all());
    return write_json(page);
}

/// Lifts the quarantine of a content on every entry. Body: `{"pool": "model:NAME", "content": N}`.
http::response lift_quarantine(entry_state& state, const http::request& request)
{
    const auto body = parse_json(request.m_body).value_or(json());
    const bool is_right = body.is_object() && body.contains("pool") && body["pool"].is_string() &&
                          body.contains("content") && body["content"].is_number_unsigned();
    if (!is_right) {
        return caller::to_response(
            caller::bad_request("invalid_body",
                                "the body must be an object with \"pool\" (a string) and "
                                "\"content\" (a whole number)"),
            "");
    }
    state.m_pools.lift_quarantine(body["pool"], fingerprint(body["content"].get<std::uint64_t>()),
                                  program::now());
    return http::json_response(200, R"({"status":"lifted"})");
}

std::string models_text(const entry_state& state)
{
    constexpr std::string_view prefix = "model:";
    json data = json::array();
    for (const auto& name : state.m_pools.names()) {
        if (name.starts_with(prefix)) {
            data.push_back(
                {{"id", name.substr(prefix.size())}, {"object", "model"}, {"owned_by", "dewbeam"}});
        }
    }
    return write_json({{"object", "list"}, {"data", data}});
}

}  // namespace

std::optional<http::response> answer_page(entry_state& state, const http::request& request)
{
    const auto path = http::path_of(request.m_target);
    if (path == "/healthz") {
        return http::json_response(200, R"({"status":"ok"})");
    }
    if (path == "/readyz") {
        return readiness(state);
    }
    if (path == "/metrics") {
        return http::response{
            200, {{"Content-Type", "text/plain; version=0.0.4"}}, state.m_metrics.text()};
    }
    if (path == "/v1/status") {
        return http::json_response(200, status_text(state));
    }
    if (path == "/v1/burn") {
        return http::json_response(200, burn_text(state));
    }
    if (path == "/v1/quarantine/lift" && request.m_method == "POST") {
        return lift_quarantine(state, request);
    }
    if (path == "/v1/models" && request.m_method == "GET") {
        return http::json_response(200, models_text(state));
    }
    return std::nullopt;
}

}  // namespace dewbeam::entry
