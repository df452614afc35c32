/// \file
/// What operators are told of a change that they sent.
#pragma once

#include "dewbeam/http"
#include "dewbeam/src/control/replica_runner.h"

namespace dewbeam::control {

/// Field term of a change's end, for logs and bodies.
const char* to_text(configuration::change_status value);

/// The response for a change: 200 accepted, 409 conflict, 422 invalid, 503 without a majority.
http::response change_response(const change_answer& ended);

}  // namespace dewbeam::control
