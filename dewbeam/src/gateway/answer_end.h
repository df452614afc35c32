/// \file
/// How the answer to an attempt ended, as reported in logs and metrics.
#pragma once

#include <cstddef>

#include "dewbeam/http"

namespace dewbeam::gateway {

/// How the connection that carried an answer ended.
enum class connection_end {
    complete,  ///< it carried all bytes that the body framing requires
    closed,    ///< it was closed, which is what marks the end of this answer's body
    broken,    ///< it was closed or reset before the end of the answer
    given_up,  ///< the attempt timed out or was cancelled
    not_made,  ///< no request was sent on it
};

/// The end of one answer.
struct answer_end {
    bool m_has_head = false;
    http::body_frame m_frame = http::body_frame::length;  ///< valid if `m_has_head`
    connection_end m_connection = connection_end::given_up;
    bool m_is_stream = false;
    std::size_t m_unfinished_bytes = 0;  ///< of a stream: bytes after its last complete event
};

/// Name of the body framing in logs and metrics; `none` without a head.
const char* frame_name(const answer_end& value);

/// Name in logs and metrics.
const char* to_string(connection_end value);

/// Position at which an answer ended: `body`, `between_events` or `inside_event`.
const char* place_name(const answer_end& value);

/// Derives how a connection ended from the result of its exchange.
connection_end connection_end_of(const absl::Status& result, http::progress how_far,
                                 http::body_frame frame);

}  // namespace dewbeam::gateway
