/// \file
/// The answer of a registry to a request that it refuses.
#pragma once

#include <string>

#include "dewbeam/http"

namespace dewbeam::registrar {

/// An answer with a JSON body that names the error: `{"error":{"code":...,"message":...}}`.
http::response error_response(int status, const char* code, const std::string& message);

}  // namespace dewbeam::registrar
