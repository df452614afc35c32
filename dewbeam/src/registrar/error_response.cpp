#include "dewbeam/src/registrar/error_response.h"

#include <nlohmann/json.hpp>

namespace dewbeam::registrar {

http::response error_response(int status, const char* code, const std::string& message)
{
    const nlohmann::json body{{"error", {{"code", code}, {"message", message}}}};
    return http::json_response(status, write_json(body));
}

}  // namespace dewbeam::registrar
