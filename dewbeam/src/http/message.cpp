#include "dewbeam/src/http/message.h"

#include <absl/strings/match.h>

#include <utility>

namespace dewbeam::http {

bool is_same_name(std::string_view a, std::string_view b)
{
    return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                  absl::string_view(b.data(), b.size()));
}

std::string_view find_field(const fields& all, std::string_view name)
{
    for (const auto& item : all) {
        if (is_same_name(item.m_name, name)) {
            return item.m_value;
        }
    }
    return {};
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

response json_response(int status, std::string body)
{
    response result;
    result.m_status = status;
    result.m_fields.push_back({"Content-Type", "application/json"});
    result.m_body = std::move(body);
    return result;
}

}  // namespace dewbeam::http
