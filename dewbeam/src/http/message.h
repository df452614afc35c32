/// \file
/// HTTP requests and responses as plain structs.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "dewbeam/base"

namespace dewbeam::http {

/// One header field.
struct field {
    std::string m_name;
    std::string m_value;
};

/// Header fields in the order in which they came.
using fields = std::vector<field>;

/// The value of the first field of that name, in any case; empty where there is none.
std::string_view find_field(const fields& all, std::string_view name);

/// Whether two field names are the same but for case.
bool is_same_name(std::string_view a, std::string_view b);

/// A whole request.
struct request {
    std::string m_method;
    std::string m_target;  ///< path and query
    fields m_fields;
    std::string m_body;
    /// The earliest time at which the request may have been sent, as far as the server can tell:
    /// before it was read, if the server was held up, if it was sent ahead of an earlier answer, or
    /// if its connection was opened long before. Set with `server_options::m_dates_requests`.
    time_point m_sent_after{};
};

/// A whole response.
struct response {
    int m_status = 200;
    fields m_fields;
    std::string m_body;
};

/// The path of a target, without its query.
std::string_view path_of(std::string_view target);

/// A response with a JSON body.
response json_response(int status, std::string body);

}  // namespace dewbeam::http
