#include "dewbeam/src/caller/errors.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace dewbeam::caller {

namespace {

using json = nlohmann::json;

const char* to_text(run_outcome value)
{
    switch (value) {
        case run_outcome::not_run:
            return "not_run";
        case run_outcome::unknown:
            return "unknown";
        case run_outcome::none:
            break;
    }
    return "";
}

std::int64_t whole_seconds(time_span span)
{
    return std::max<std::int64_t>(std::chrono::ceil<std::chrono::seconds>(span).count(), 1);
}

std::string dump(const json& value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

std::string to_json(const error& fault)
{
    json body{{"message", fault.m_message},
              {"type", fault.m_type},
              {"code", fault.m_code},
              {"param", fault.m_param.empty() ? json(nullptr) : json(fault.m_param)}};
    if (fault.m_outcome != run_outcome::none) {
        body["outcome"] = to_text(fault.m_outcome);
    }
    return dump(json{{"error", body}});
}

http::response to_response(const error& fault, std::string_view request_id)
{
    auto result = http::json_response(fault.m_status, to_json(fault));
    if (!request_id.empty()) {
        result.m_fields.push_back({"X-Request-Id", std::string(request_id)});
    }
    if (fault.m_outcome != run_outcome::none) {
        result.m_fields.push_back({"X-Dewbeam-Outcome", to_text(fault.m_outcome)});
    }
    if (fault.m_retry_after > time_span::zero()) {
        result.m_fields.push_back(
            {"Retry-After", std::to_string(whole_seconds(fault.m_retry_after))});
    }
    return result;
}

std::string to_event(const error& fault)
{
    return "data: " + to_json(fault) + "\n\n";
}

error bad_request(std::string code, std::string message, std::string param)
{
    error fault;
    fault.m_status = 400;
    fault.m_type = "invalid_request_error";
    fault.m_code = std::move(code);
    fault.m_message = std::move(message);
    fault.m_param = std::move(param);
    return fault;
}

}  // namespace dewbeam::caller
