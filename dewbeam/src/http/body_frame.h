/// \file
/// How the body of a response is delimited (RFC 9112, 6.3).
#pragma once

#include "dewbeam/src/http/message.h"

namespace dewbeam::http {

/// What marks the end of a body.
enum class body_frame {
    length,  ///< a stated length; also a response that has no body
    chunks,  ///< the last chunk
    close,   ///< only the end of the connection, which an interrupted sender causes as well
};

/// Field term of a frame for logs and metrics.
const char* to_string(body_frame value);

/// The frame of a response, by its status and its fields as they were received.
body_frame frame_of(int status, const fields& head);

}  // namespace dewbeam::http
