#include "dewbeam/src/control/change_page.h"

#include <nlohmann/json.hpp>

#include "dewbeam/caller"

namespace dewbeam::control {

namespace {

using json = nlohmann::json;

json to_json(const mistakes& items)
{
    json list = json::array();
    for (const auto& item : items) {
        list.push_back(
            {{"path", item.m_path}, {"value", item.m_value}, {"allowed", item.m_allowed}});
    }
    return list;
}

http::response no_quorum_response()
{
    caller::error fault;
    fault.m_status = 503;
    fault.m_type = "control_error";
    fault.m_code = "no_quorum";
    fault.m_message =
        "no majority of the control hosts answered; send the change again under the same id";
    fault.m_retry_after = std::chrono::seconds(1);
    return caller::to_response(fault, "");
}

http::response decided_response(const configuration::change_result& result)
{
    switch (result.m_status) {
        case configuration::change_status::accepted:
            return http::json_response(
                200, write_json({{"status", "accepted"}, {"number", result.m_number}}));
        case configuration::change_status::conflict:
            return http::json_response(409, write_json({{"status", "conflict"},
                                                        {"number", result.m_number},
                                                        {"winner", result.m_winner}}));
        case configuration::change_status::invalid:
            break;
    }
    return http::json_response(
        422, write_json({{"status", "invalid"}, {"mistakes", to_json(result.m_mistakes)}}));
}

}  // namespace

const char* to_text(configuration::change_status value)
{
    switch (value) {
        case configuration::change_status::accepted:
            return "accepted";
        case configuration::change_status::conflict:
            return "conflict";
        case configuration::change_status::invalid:
            break;
    }
    return "invalid";
}

http::response change_response(const change_answer& ended)
{
    const auto* result = std::get_if<configuration::change_result>(&ended);
    return result == nullptr ? no_quorum_response() : decided_response(*result);
}

}  // namespace dewbeam::control
